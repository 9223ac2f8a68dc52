"""Commands that print reports."""

from pathlib import Path

from cleo.helpers import option

from gentianpulley.burn_page import render_page
from gentianpulley.burn_report import build_burn_report
from gentianpulley.cli_command import COMMON_OPTIONS, ClusterCommand
from gentianpulley.cli_domain import stored_cfg
from gentianpulley.messages import problem_line
from gentianpulley.cluster_client import ClusterClient
from gentianpulley.report_lines import burn_header, burn_line
from gentianpulley.result_code import OK, PARTIAL_REPORT, ResultCode


class ReportBurnCommand(ClusterCommand):
    """Reports the burn rates of service-level objectives."""

    name = 'report burn'
    description = 'Report how fast error budgets burn, the worst first.'
    options = [
        *COMMON_OPTIONS,
        option('html', None, 'Also write a page to this file.', flag=False),
    ]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Merge the measurements of all instances and print them."""
        report = build_burn_report(stored_cfg(client), client.measurements())
        if self.option('html'):
            Path(self.option('html')).write_text(render_page(report))
        self.emit(
            report,
            burn_header(),
            *(burn_line(row) for row in report.rows),
            *(
                problem_line(missing.instance, missing.problem)
                for missing in report.unreachable
            ),
        )
        return PARTIAL_REPORT if report.unreachable else OK
