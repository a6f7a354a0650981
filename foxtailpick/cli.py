"""The command line: `foxtailpick COMMAND`."""

import json
import pathlib
import sys
import uuid

import defopt
import httpcore
from loguru import logger
import trio

from foxtailpick.adapters import http_connections
from foxtailpick.core import errors
from foxtailpick.core import settings
from foxtailpick.gateway import request_timeline

DEFAULT_URL = 'http://127.0.0.1:8081'
HTTP_OK = 200
PREFIX = '/foxtailpick/'
EXIT_FAILED = 1
EXIT_USAGE = 2
_LOG_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


def router(cfg: pathlib.Path, *, log_level: str = 'INFO') -> int:
    """Run a router until SIGTERM or SIGINT.

    :param cfg: settings file.
    :param log_level: minimum level that is logged.
    """
    # Imported here because the other commands do not need the servers,
    # which cost memory and start time.
    from foxtailpick.node import process
    from foxtailpick.router import daemon

    _start_log(log_level)
    return process.run_daemon(
        settings.RouterSettings.from_file(cfg), daemon.open_router
    )


def sidecar(cfg: pathlib.Path, *, log_level: str = 'INFO') -> int:
    """Run a sidecar until SIGTERM or SIGINT.

    :param cfg: settings file.
    :param log_level: minimum level that is logged.
    """
    from foxtailpick.node import process
    from foxtailpick.sidecar import daemon

    _start_log(log_level)
    return process.run_daemon(
        settings.SidecarSettings.from_file(cfg), daemon.open_sidecar
    )


def check(cfg: pathlib.Path) -> int:
    """Check a settings file.

    :param cfg: settings file of a router or a sidecar.
    """
    kind = settings.detect_settings_class(cfg)
    kind.from_file(cfg)
    print(f'{cfg}: valid {kind.__name__}')
    return 0


def check_config(
    file: pathlib.Path,
    *,
    against: pathlib.Path | None = None,
    json_lines: bool = False,
) -> int:
    """Check a configuration of the platform before it is sent.

    Exits with 0 if nothing is wrong, 1 if something is, 2 if a file can't be
    read or a gateway could not use it.

    :param file: JSON file with the whole configuration.
    :param against: JSON file with the version in force, to compare with.
    :param json_lines: whether to print each finding as a JSON object.
    """
    from foxtailpick.platform import config_report

    return config_report.print_report(file, against, json_lines)


def create(file: pathlib.Path, *, store: str, prefix: str = PREFIX) -> int:
    """Write the first configuration of a deployment.

    :param file: INI file with the whole configuration.
    :param store: URL of the platform's key-value store.
    :param prefix: prefix of all keys, as in the settings.
    """
    from foxtailpick.node import process

    is_first = process.create_configuration(
        file.read_text('utf-8'), store, prefix
    )
    if is_first:
        print('number 1 is in force')
        return 0
    print('another configuration is in force already; submit a patch')
    return EXIT_FAILED


def show(*, url: str = DEFAULT_URL) -> int:
    """Print the configuration in force, with its number.

    :param url: operators' URL of a router.
    """
    return _print_reply('GET', f'{url}/v1/config')


def patch(
    file: pathlib.Path,
    *,
    base: int,
    author: str,
    reason: str,
    id: str = '',
    url: str = DEFAULT_URL,
) -> int:
    """Submit a patch against a numbered configuration.

    If the outcome is unknown, submit the same patch again with the same id:
    the answer then tells the outcome.

    :param file: INI file with the items to change.
    :param base: configuration number that the patch is based on.
    :param author: author of the patch.
    :param reason: reason for the patch.
    :param id: id of the patch, a new one if empty.
    :param url: operators' URL of a router.
    """
    patch_id = id or uuid.uuid4().hex
    header = (
        f'[patch]\nbase = {base}\nid = {patch_id}\n'
        f'author = {author}\nreason = {reason}\n'
    )
    print(f'patch id {patch_id}')
    body = header + file.read_text('utf-8')
    return _print_reply('POST', f'{url}/v1/config/patches', body)


def history(*, count: int = 20, url: str = DEFAULT_URL) -> int:
    """Print the latest patches with author, time and reason.

    :param count: number of patches.
    :param url: operators' URL of a router.
    """
    return _print_reply('GET', f'{url}/v1/config/history?count={count}')


def status(*, url: str = DEFAULT_URL) -> int:
    """Print the status of a router and its view of the fleet.

    :param url: operators' URL of the router.
    """
    return _print_reply('GET', f'{url}/v1/status')


def explain(
    request: str, *, url: str = DEFAULT_URL, log: pathlib.Path | None = None
) -> int:
    """Print the routing decisions on a request.

    :param request: id of the request.
    :param url: operators' URL of the router that answered it.
    :param log: log file of a gateway to read instead.
    """
    if log is not None:
        return _print_timeline(log, request)
    return _print_reply('GET', f'{url}/v1/explain/{request}')


def drain(*, url: str) -> int:
    """Drain an endpoint: finish its work in flight and admit no more.

    :param url: operators' URL of its sidecar.
    """
    return _print_reply('POST', f'{url}/v1/drain')


def undrain(*, url: str) -> int:
    """Let a drained endpoint admit work again.

    :param url: operators' URL of its sidecar.
    """
    return _print_reply('POST', f'{url}/v1/undrain')


def demo(*, log: bool = False) -> int:
    """Run a small deployment on stand-ins and check every invariant.

    :param log: whether to print the log lines.
    """
    from foxtailpick.demo import run

    _start_log('INFO' if log else 'ERROR')
    return run.main()


def main() -> int:
    """Run the command line; return the exit status."""
    commands = [
        router,
        sidecar,
        check,
        check_config,
        create,
        show,
        patch,
        history,
        status,
        explain,
        drain,
        undrain,
        demo,
    ]
    try:
        return defopt.run(commands)
    except errors.FoxtailError as exc:
        print(f'foxtailpick: {exc}', file=sys.stderr)
        return EXIT_USAGE
    except (OSError, httpcore.NetworkError, httpcore.TimeoutException) as exc:
        print(f'foxtailpick: {exc!r}', file=sys.stderr)
        return EXIT_FAILED


def _print_timeline(log: pathlib.Path, request: str) -> int:
    with log.open(encoding='utf-8', errors='replace') as lines:
        timeline = request_timeline.find_timeline(lines, request)
    if not timeline:
        print(f'{log}: no lines on {request}; try the other gateways')
        return EXIT_FAILED
    for text in request_timeline.format_timeline(timeline):
        print(text)
    return 0


def _start_log(level: str) -> None:
    logger.remove()
    logger.add(sys.stderr, level=level, format=_LOG_FORMAT)


def _print_reply(method: str, url: str, body: str = '') -> int:
    response = trio.run(_request, method, url, body.encode())
    text = response.content.decode('utf-8', 'replace')
    print(_indent_json(text))
    return 0 if response.status == HTTP_OK else EXIT_FAILED


async def _request(method: str, url: str, body: bytes) -> httpcore.Response:
    async with http_connections.open_pool(1) as pool:
        return await pool.request(method, url, content=body)


def _indent_json(text: str) -> str:
    try:
        return json.dumps(json.loads(text), indent=2, ensure_ascii=False)
    except ValueError:
        return text
