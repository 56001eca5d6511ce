"""Benchmarks that compare kelpcourse with earlier versions and with libraries; each is run with `python -m`."""
