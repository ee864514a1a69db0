"""The ``toucandeal`` command-line client for a proxy's operator commands."""

import secrets
import sys
from http import client
from typing import Any

import click
import msgspec
import tabulate

__all__ = ['format_rows', 'main', 'printable', 'send_command']

TIMEOUT_S = 20.0
FAILED_EXIT_CODE = 1
UNREACHABLE_EXIT_CODE = 3


def send_command(address: str, text: str, change_id: str) -> dict[str, Any]:
    """Send a command to a proxy and return its answer.

    Raises
    ------
    OSError
        The proxy is unreachable.
    """
    connection = client.HTTPConnection(address, timeout=TIMEOUT_S)
    body = msgspec.json.encode({'command': text, 'change_id': change_id})
    try:
        connection.request('POST', '/v1/commands', body)
        return msgspec.json.decode(connection.getresponse().read())
    finally:
        connection.close()


def _query_proxies(
    addresses: list[str], text: str, change_id: str
) -> dict[str, Any]:
    """Query the proxies in turn; a retry carries the same change id."""
    problems = []
    for address in addresses:
        try:
            return send_command(address, text, change_id)
        except (OSError, client.HTTPException) as error:
            problems.append(f'{address}: {error}')
    click.echo(
        'No proxy answered: ' + '; '.join(problems) + '. Check --proxy and '
        'that the daemons are running. To retry a change, repeat it with '
        f'--change-id {change_id}.',
        err=True,
    )
    sys.exit(UNREACHABLE_EXIT_CODE)


def printable(text: str) -> str:
    r"""Return a text with its control characters escaped.

    Names come from the platform and from other proxies.

    Examples
    --------
    >>> print(printable('a\x1b[2J'))
    a\x1b[2J
    """
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode()
        for character in text
    )


def format_rows(rows: list[dict[str, Any]]) -> str:
    """Return the rows as a table, with names as they are.

    Examples
    --------
    >>> print(format_rows([{'proxy': '1e5', 'silent': 0.5}]))
    proxy      silent
    -------  --------
    1e5           0.5
    """
    cells = [
        [
            printable(cell) if isinstance(cell, str) else cell
            for cell in row.values()
        ]
        for row in rows
    ]
    # Without this, a name that looks like a number is shown as that number.
    text_columns = [
        column
        for column, fields in enumerate(zip(*cells, strict=True))
        if any(isinstance(field, str) for field in fields)
    ]
    return tabulate.tabulate(
        cells, headers=list(rows[0]), disable_numparse=text_columns
    )


def _print_answer(answer: dict[str, Any]) -> None:
    if 'rows' in answer:
        rows = answer['rows']
        click.echo(format_rows(rows) if rows else 'no rows')
    elif 'help' in answer:
        click.echo(answer['help'])
    elif 'version' in answer:
        click.echo(
            f'accepted: {printable(answer["accepted"])} '
            f'at version {answer["version"]}, in force on '
            f'{answer["in_force"]} of {answer["proxies"]} live proxies'
        )
    else:
        click.echo(
            '; '.join(
                f'{name}: {printable(text)}' for name, text in answer.items()
            )
        )


@click.command(context_settings={'auto_envvar_prefix': 'TOUCANDEAL'})
@click.option(
    '--proxy',
    'proxies',
    multiple=True,
    default=['127.0.0.1:6401'],
    show_default=True,
    help='IP:PORT of a proxy for operators; give several to try in turn.',
)
@click.option(
    '--json', 'as_json', is_flag=True, help='Print the answer as JSON.'
)
@click.option('--change-id', default='', help='Repeat an earlier change.')
@click.argument('command', nargs=-1, required=True)
def main(
    proxies: tuple[str, ...],
    command: tuple[str, ...],
    change_id: str,
    *,
    as_json: bool,
) -> None:
    """Show or change the state and configuration of the proxies.

    Start with: toucandeal help
    """
    change_id = change_id or secrets.token_hex(8)
    answer = _query_proxies(list(proxies), ' '.join(command), change_id)
    error = answer.get('error')
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
    elif error:
        text = f'{error["problem"]}. {error["remedy"]}.'
        click.echo(printable(text), err=True)
    else:
        _print_answer(answer)
    sys.exit(FAILED_EXIT_CODE if error else 0)


if __name__ == '__main__':
    main()
