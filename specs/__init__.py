"""Specifications of the core protocols, checked by ``minicheck``.

Each module builds a model for a set of seeded faults; without a fault its
invariants must hold, and with each fault a counterexample must be found.
"""
