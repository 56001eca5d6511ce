"""The command line.

`python -m kelpcourse` without arguments runs the platform's controller and does not import this package.
"""
