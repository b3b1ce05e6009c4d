/** Returns a proxy that passes each method call of the target to `around`. */
export function intercept<Target extends object>(
  target: Target,
  around: (
    name: string,
    call: () => unknown,
    parameters: readonly unknown[],
  ) => unknown,
): Target {
  return new Proxy(target, {
    get: (_target, name) => {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== 'function') return member;
      return (...parameters: unknown[]) => {
        const call = (): unknown => Reflect.apply(member, target, parameters);
        return around(String(name), call, parameters);
      };
    },
  });
}
