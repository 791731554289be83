"""Specifications of the core protocols, checked by ``minicheck``.

Each module builds one model and lists the faults that can be seeded in it.
The invariants must hold without a fault, and the check must find a
counterexample for each seeded fault.
"""
