"""Print one JSON line per result, and a table at the end."""

import sys
from typing import Any

import msgspec


class Results:
    """Collect the results of one run."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, experiment: str, case: str, **figures: Any) -> None:
        """Print one result as a JSON line and keep it for the table."""
        row = {'experiment': experiment, 'case': case, **figures}
        self.rows.append(row)
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')
        sys.stdout.flush()

    def print_table(self) -> None:
        """Print one line per result with all its figures."""
        for row in self.rows:
            figures = [
                f'{name}={_format_figure(figure)}'
                for name, figure in row.items()
                if name not in {'experiment', 'case'}
            ]
            label = f'{row["experiment"]}: {row["case"]}'
            sys.stdout.write(f'{label:<48} {"  ".join(figures)}\n')


def _format_figure(figure: Any) -> Any:
    if isinstance(figure, float):
        return f'{figure:.4g}'
    return figure
