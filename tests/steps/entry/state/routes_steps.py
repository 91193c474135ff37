"""Steps for routes."""

from behave import given, then
from behave.runner import Context
from support.forwarding import make_route
from wasabiwell_entry.state.routes import CallerLimits, RouteKind, RouteTable, routes_by_host


@given('the routes "{prefixes}" of "{host}"')
def step_routes(context: Context, prefixes: str, host: str) -> None:
    routes = [
        make_route(RouteKind.IDEMPOTENT, "call", host=host, prefix=prefix, name=prefix)
        for prefix in prefixes.split()
    ]
    context.routes = RouteTable(1, {}, CallerLimits(), {}, routes_by_host(routes))


@then('the path "{path}" of "{host}" has the route "{name}"')
def step_route(context: Context, path: str, host: str, name: str) -> None:
    route = context.routes.find(host, path)
    assert (route.name if route is not None else "none") == name, route


@then('the path "" of "{host}" has the route "{name}"')
def step_empty(context: Context, host: str, name: str) -> None:
    step_route(context, "", host, name)
