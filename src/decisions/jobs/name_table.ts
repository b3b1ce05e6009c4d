/** Numbers names in the order of their first occurrence. */
export class NameTable {
  readonly names: string[] = [];
  private readonly indexes = new Map<string, number>();

  indexOf(name: string): number {
    let index = this.indexes.get(name);
    if (index === undefined) {
      index = this.names.push(name) - 1;
      this.indexes.set(name, index);
    }
    return index;
  }
}
