/** Leaves out what isn't needed, one by one, while the rest still violates. */
export async function shrinkPlan<Planned>(
  plan: readonly Planned[],
  violates: (smaller: readonly Planned[]) => Promise<boolean>,
): Promise<readonly Planned[]> {
  for (let index = 0; index < plan.length; index++) {
    const smaller = plan.filter((_planned, other) => other !== index);
    if (await violates(smaller)) return shrinkPlan(smaller, violates);
  }
  return plan;
}
