"""The facade of the routing policy, a blocking interface.

Callers report events, run due steps with `Facade.tick` and collect the resulting work with `Facade.pick`.
"""

from kelpcourse.facade.facade import Facade, Policy
from kelpcourse.facade.validation import InvalidReportError
from kelpcourse.facade.work import HealthCheckRequest, Work

__all__ = ["Facade", "HealthCheckRequest", "InvalidReportError", "Policy", "Work"]
