package lint_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/keyring"
	"github.com/papayapath/papayapath/pkg/lint"
	"github.com/papayapath/papayapath/pkg/routing"
)

// soundLimits, soundService and route are parts of a configuration without a fault.
var (
	soundLimits  = routing.Limits{HeaderBytes: 16384, BodyBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	soundService = routing.Service{HealthPath: "/healthz", MaxConnections: 100}
)

// route returns a route without a fault, changed by options.
func route(name, prefix string, options ...routing.RouteOption) *routing.Route {
	sound := []routing.RouteOption{
		routing.WithRepeatable(true), routing.WithTimeout(5 * time.Second), routing.WithObjective(time.Second), routing.WithMaxAttempts(2), to("x", 1),
	}
	return routing.NewRoute(name, prefix, append(sound, options...)...)
}

func to(service string, weight int) routing.RouteOption {
	return routing.WithWeightedService(service, weight, rand.New(rand.NewPCG(1, 2)))
}

// table returns a configuration of version 5 without a fault, changed by options.
func table(options ...routing.Option) *routing.Table {
	sound := []routing.Option{routing.WithLimits(soundLimits), routing.WithService("x", soundService), routing.WithRoute("one.example", route("r", "/a/"))}
	return routing.New(5, append(sound, options...)...)
}

// customers returns an option with some customers.
func customers(t *testing.T, options ...keyring.Option) routing.Option {
	keys, err := keyring.New(options...)
	require.NoError(t, err)
	return routing.WithKeyring(keys)
}

func limited(name string, rate, burst float64, keys ...string) keyring.Option {
	return keyring.WithCustomer(customer.New(name, customer.WithLimit(rate, burst)), keys...)
}

// lines returns findings as text.
func lines(findings []lint.Finding) []string {
	var all []string
	for _, f := range findings {
		all = append(all, f.String())
	}
	return all
}

// Guards against a fault that is not found, is found in another entry, or is reported of a
// configuration without faults.
func TestCheck(t *testing.T) {
	host := func(name string, r *routing.Route) routing.Option { return routing.WithRoute(name, r) }
	limits := func(change func(l *routing.Limits)) routing.Option {
		l := soundLimits
		change(&l)
		return routing.WithLimits(l)
	}
	const other = `route "s" (one.example/b/): `
	for name, c := range map[string]struct {
		options  []routing.Option
		expected string // the only finding; none if empty
	}{
		"sound":              {nil, ""},
		"sound customers":    {[]routing.Option{customers(t, limited("one", 5, 5, "secret"), limited("two", 0, 0, "secret2"))}, ""},
		"smallest limit":     {[]routing.Option{customers(t, limited("one", 0.2, 0, "secret"))}, ""},
		"split":              {[]routing.Option{host("one.example", route("s", "/b/", to("x", 0)))}, ""},
		"same prefix apart":  {[]routing.Option{host("two.example", route("r", "/a/"))}, ""},
		"hidden":             {[]routing.Option{host("one.example", route("s", "/a/"))}, `unreachable: route "s" (one.example/a/): hidden by route "r", which has the same host and prefix`},
		"host in upper case": {[]routing.Option{host("ONE.example", route("s", "/a/"))}, `unreachable: route "s" (one.example/a/): hidden by route "r", which has the same host and prefix`},
		"host twice, another rule": {
			[]routing.Option{host("one.example", route("r", "/a/", routing.WithTimeout(2*time.Second), routing.WithOpen(true)))},
			`unreachable: route "r" (one.example/a/): hidden by route "r", which has the same host and prefix and takes precedence: open without key true in place of false, time-out 2s in place of 5s`,
		},
		"name twice":       {[]routing.Option{host("one.example", route("r", "/b/"))}, `contradiction: route "r" (one.example/b/): shares its name with the route for one.example/a/: windows and logs do not tell them apart`},
		"host with port":   {[]routing.Option{host("two.example:80", route("s", "/b/"))}, `unreachable: host "two.example:80": no request names it: hosts are compared without their port`},
		"no host":          {[]routing.Option{host("", route("s", "/b/"))}, `unreachable: host "": no request names it: hosts are compared without their port`},
		"no path":          {[]routing.Option{host("one.example", route("s", "b/"))}, `unreachable: route "s" (one.exampleb/): no path begins with "b/"`},
		"query":            {[]routing.Option{host("one.example", route("s", "/b?x="))}, `unreachable: route "s" (one.example/b?x=): no path begins with "/b?x="`},
		"unknown service":  {[]routing.Option{host("one.example", route("s", "/b/", to("y", 1)))}, `contradiction: ` + other + `service "y" has no settings`},
		"no service":       {[]routing.Option{host("one.example", routing.NewRoute("s", "/b/", routing.WithTimeout(5*time.Second), routing.WithObjective(time.Second)))}, `unreachable: ` + other + `names no service`},
		"weights":          {[]routing.Option{host("one.example", routing.NewRoute("s", "/b/", routing.WithTimeout(5*time.Second), routing.WithObjective(time.Second), to("x", 0)))}, `unreachable: ` + other + `all weights are 0`},
		"no time-out":      {[]routing.Option{host("one.example", route("s", "/b/", routing.WithTimeout(0)))}, `contradiction: ` + other + `time-out of 0s`},
		"time-out":         {[]routing.Option{host("one.example", route("s", "/b/", routing.WithTimeout(999*time.Millisecond)))}, `contradiction: ` + other + `the time-out of 999ms ends requests before the latency objective of 1s`},
		"no objective":     {[]routing.Option{host("one.example", route("s", "/b/", routing.WithObjective(0)))}, `contradiction: ` + other + `latency objective of 0s`},
		"attempts":         {[]routing.Option{host("one.example", route("s", "/b/", routing.WithMaxAttempts(5)))}, `contradiction: ` + other + `5 attempts; nodes make 4 at most`},
		"unsafe attempts":  {[]routing.Option{host("one.example", route("s", "/b/", routing.WithRepeatable(false), routing.WithMaxAttempts(4)))}, `contradiction: ` + other + `4 attempts of requests that must not be repeated; above 3 they only use up the retry budget`},
		"unused service":   {[]routing.Option{routing.WithService("y", soundService)}, `unreachable: service "y": no route names it`},
		"health path":      {[]routing.Option{routing.WithService("x", routing.Service{MaxConnections: 1})}, `contradiction: service "x": no health check is possible at path ""`},
		"connections":      {[]routing.Option{routing.WithService("x", routing.Service{HealthPath: "/", MaxConnections: -1})}, `contradiction: service "x": limit of -1 connections`},
		"header bytes":     {[]routing.Option{limits(func(l *routing.Limits) { l.HeaderBytes = 50 })}, `contradiction: limits: no request has a header section of 50 bytes or less`},
		"body bytes":       {[]routing.Option{limits(func(l *routing.Limits) { l.BodyBytes = 0 })}, `contradiction: limits: every request with a body is refused, at 0 bytes`},
		"header time-out":  {[]routing.Option{limits(func(l *routing.Limits) { l.HeaderTimeout = 0 })}, `contradiction: limits: no header section arrives within the header time-out of 0s`},
		"idle time-out":    {[]routing.Option{limits(func(l *routing.Limits) { l.IdleTimeout = -1 })}, `contradiction: limits: no connection outlasts the idle time-out of -1ns`},
		"without keys":     {[]routing.Option{customers(t, limited("one", 0, 0, "secret"), limited("two", 0, 0))}, `unreachable: customer "two": has no key`},
		"burst":            {[]routing.Option{customers(t, limited("one", 0, 3, "secret"))}, `contradiction: customer "one": burst of 3 without a rate; there is no limit`},
		"limit":            {[]routing.Option{customers(t, limited("one", 0.1, 0.4, "secret"))}, `contradiction: customer "one": 0.1 requests a second and a burst of 0.4 are less than one request in 5s`},
		"unknown kind":     {[]routing.Option{routing.WithWarning("a warning")}, `restricted: routes: a warning`},
		"open without key": {[]routing.Option{routing.WithRoute("one.example", route("s", "/b/", routing.WithOpen(true)))}, ""},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			var expected []string
			if c.expected != "" {
				expected = []string{c.expected}
			}
			require.Equal(t, expected, lines(lint.Check(table(c.options...))))
		})
	}
	require.Equal(t, []string{`unreachable: route "r" (one.example/a/): needs a key, and no customer has one`, `unreachable: customer "one": has no key`},
		lines(lint.Check(table(customers(t, limited("one", 0, 0)), host("one.example", route("s", "/b/", routing.WithOpen(true)))))))
}

// Guards against a change that is not told, or told of a configuration without one, and
// against keys in what is told.
func TestCompare(t *testing.T) {
	keys := func(rate float64, all ...string) routing.Option { return customers(t, limited("one", rate, 4, all...)) }
	next := func(options ...routing.Option) *routing.Table {
		sound := []routing.Option{routing.WithLimits(soundLimits), routing.WithService("x", soundService), keys(3, "secret-1", "secret-2")}
		return routing.New(6, append(sound, options...)...)
	}
	inForce := table(keys(3, "secret-1", "secret-2"))
	same := routing.WithRoute("one.example", route("r", "/a/"))
	for name, c := range map[string]struct {
		next     *routing.Table
		expected []string
	}{
		"none": {next(same), nil},
		"route removed": {next(), []string{
			`difference: route one.example/a/: removed: attempts 2, importance background, latency objective 1s, name r, open without key false, repeatable true, services x (1), time-out 5s`,
		}},
		"route added": {next(same, routing.WithRoute("two.example", route("s", "/", to("y", 3)))), []string{
			`difference: route two.example/: added: attempts 2, importance background, latency objective 1s, name s, open without key false, repeatable true, services x (1) and y (3), time-out 5s`,
		}},
		"hidden route": {next(same, routing.WithRoute("one.example", route("s", "/a/", routing.WithTimeout(time.Second)))), nil},
		"route changed": {next(routing.WithRoute("one.example", route("r", "/a/", routing.WithTimeout(2*time.Second), routing.WithRepeatable(false), to("y", 9)))), []string{
			`difference: route one.example/a/: repeatable: true -> false`, `difference: route one.example/a/: services: x (1) -> x (1) and y (9)`, `difference: route one.example/a/: time-out: 5s -> 2s`,
		}},
		"limits": {next(same, routing.WithLimits(routing.Limits{HeaderBytes: 16384, BodyBytes: 999, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})), []string{
			`difference: limits: body bytes: 1000 -> 999`,
		}},
		"service": {next(same, routing.WithService("y", soundService), routing.WithService("x", routing.Service{HealthPath: "/h", MaxConnections: 100})), []string{
			`difference: service "x": health path: /healthz -> /h`, `difference: service "y": added: connections 100, health path /healthz`,
		}},
		"limit of a customer": {next(same, keys(2.5, "secret-2", "secret-1")), []string{`difference: customer "one": rate: 3 -> 2.5`}},
		"keys":                {next(same, keys(3, "secret-2", "secret-3", "secret-4")), []string{`difference: customer "one": keys: 2 added, 1 removed, 1 kept`}},
		"exchanged key":       {next(same, keys(3, "secret-1", "secret-3")), []string{`difference: customer "one": keys: 1 added, 1 removed, 1 kept`}},
		"customers": {next(same, customers(t, limited("two", 0, 0, "secret-1"))), []string{
			`difference: customer "one": removed: burst 4, importance high, keys 2, rate 3`, `difference: customer "two": added: burst 0, importance high, keys 1, rate 0`,
		}},
		"version": {table(keys(3, "secret-1", "secret-2")), []string{`outdated: version: 00000005 is not higher than 00000005, which is in force`}},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			got := lines(lint.Compare(inForce, c.next))
			require.Equal(t, c.expected, got)
			require.NotContains(t, strings.Join(got, "\n"), "secret")
		})
	}
}
