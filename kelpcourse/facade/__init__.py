"""The facade before the routing policy, in blocking style: report, tick, and pick the work that is due."""

from kelpcourse.facade.facade import Facade, Policy
from kelpcourse.facade.validation import InvalidReportError
from kelpcourse.facade.work import HealthCheckRequest, Work

__all__ = ["Facade", "HealthCheckRequest", "InvalidReportError", "Policy", "Work"]
