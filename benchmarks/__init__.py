"""Measurements beside earlier versions and beside libraries; each module is run with `python -m`."""
