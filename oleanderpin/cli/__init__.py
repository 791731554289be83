"""The ``oleanderpin`` command line for operators."""
