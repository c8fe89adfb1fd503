package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/routing"
)

const (
	// window is the time in which the limits of customers hold.
	window = 5 * time.Second
	// maxOffers is the number of servers that a node offers a request to at most.
	maxOffers = 4
	// maxUnrepeatableAttempts is the number of attempts above which those of a request that
	// must not be repeated are of no use. Each server has to prove that it has not run the
	// request; once three have, the service has no capacity, and the request uses up the
	// retry budget of others.
	maxUnrepeatableAttempts = 3
	// minHeaderBytes is less than the size of any header section that a client sends: a
	// request line, the host, an id and a deadline.
	minHeaderBytes = 60
)

// checker collects findings.
type checker struct {
	table    *routing.Table
	findings []Finding
}

// Check returns the faults of a configuration that nodes accept, in the order of its
// entries.
func Check(t *routing.Table) []Finding {
	c := &checker{table: t}
	for _, w := range t.Warnings() {
		c.findings = append(c.findings, Finding{Kind: Restricted, Entry: "routes", Text: w})
	}
	c.checkLimits()
	used := make(map[string]bool)
	for _, host := range t.Hosts() {
		c.checkHost(host, used)
	}
	c.checkServices(used)
	c.checkCustomers()
	return c.findings
}

// add adds a finding.
func (c *checker) add(kind, entry, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Entry: entry, Text: fmt.Sprintf(format, arguments...)})
}

// checkLimits checks the limits on client requests.
func (c *checker) checkLimits() {
	const entry = "limits"
	l := c.table.Limits()
	if l.HeaderBytes < minHeaderBytes {
		c.add(Contradiction, entry, "no request has a header section of %d bytes or less", l.HeaderBytes)
	}
	if l.BodyBytes <= 0 {
		c.add(Contradiction, entry, "every request with a body is refused, at %d bytes", l.BodyBytes)
	}
	if l.HeaderTimeout <= 0 {
		c.add(Contradiction, entry, "no header section arrives within the header time-out of %s", l.HeaderTimeout)
	}
	if l.IdleTimeout <= 0 {
		c.add(Contradiction, entry, "no connection outlasts the idle time-out of %s", l.IdleTimeout)
	}
}

// serviceEntry names a service in findings.
func serviceEntry(name string) string { return fmt.Sprintf("service %q", name) }

// customerEntry names a customer in findings.
func customerEntry(c *customer.Customer) string { return fmt.Sprintf("customer %q", c.Name()) }

// routeEntry names a route in findings.
func routeEntry(host string, r *routing.Route) string {
	return fmt.Sprintf("route %q (%s%s)", r.Name(), host, r.Prefix())
}

// checkHost checks the routes of a host and records the services that they use.
func (c *checker) checkHost(host string, used map[string]bool) {
	routes := c.table.Routes(host)
	if host == "" || strings.Contains(host, ":") {
		c.add(Unreachable, fmt.Sprintf("host %q", host), "no request names it: hosts are compared without their port")
	}
	byPrefix, byName := make(map[string]*routing.Route), make(map[string]*routing.Route)
	for _, r := range routes {
		if first := byPrefix[r.Prefix()]; first != nil {
			c.add(Unreachable, routeEntry(host, r), "hidden by route %q, which has the same host and prefix%s", first.Name(), contrast(first, r))
			continue
		}
		byPrefix[r.Prefix()] = r
		if first := byName[r.Name()]; first != nil {
			c.add(Contradiction, routeEntry(host, r), "shares its name with the route for %s%s: windows and logs do not tell them apart", host, first.Prefix())
		}
		byName[r.Name()] = r
		c.checkRoute(host, r)
		for service := range r.Services() {
			used[service] = true
		}
	}
}

// contrast says in what a hidden route differs from the one in use.
func contrast(first, hidden *routing.Route) string {
	a, b := viewRoute(first), viewRoute(hidden)
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if name != "name" && a[name] != b[name] {
			fields = append(fields, name+" "+b[name]+" in place of "+a[name])
		}
	}
	if len(fields) == 0 {
		return ""
	}
	return " and takes precedence: " + strings.Join(fields, ", ")
}

// checkRoute checks a route that is in use.
func (c *checker) checkRoute(host string, r *routing.Route) {
	entry := routeEntry(host, r)
	if !strings.HasPrefix(r.Prefix(), "/") || strings.Contains(r.Prefix(), "?") {
		c.add(Unreachable, entry, "no path begins with %q", r.Prefix())
	}
	count, total := 0, 0
	for service, weight := range r.Services() {
		count++
		total += weight
		if _, ok := c.table.Service(service); !ok {
			c.add(Contradiction, entry, "service %q has no settings", service)
		}
	}
	switch {
	case count == 0:
		c.add(Unreachable, entry, "names no service")
	case total == 0:
		c.add(Unreachable, entry, "all weights are 0")
	}
	switch {
	case r.Timeout() <= 0:
		c.add(Contradiction, entry, "time-out of %s", r.Timeout())
	case r.Timeout() < r.Objective():
		c.add(Contradiction, entry, "the time-out of %s ends requests before the latency objective of %s", r.Timeout(), r.Objective())
	}
	if r.Objective() <= 0 {
		c.add(Contradiction, entry, "latency objective of %s", r.Objective())
	}
	switch attempts := r.MaxAttempts(); {
	case attempts > maxOffers:
		c.add(Contradiction, entry, "%d attempts; nodes make %d at most", attempts, maxOffers)
	case attempts > maxUnrepeatableAttempts && !r.Repeatable():
		c.add(Contradiction, entry, "%d attempts of requests that must not be repeated; above %d they only use up the retry budget", attempts, maxUnrepeatableAttempts)
	}
	if c.table.HasCustomers() && !r.Open() && c.countKeys() == 0 {
		c.add(Unreachable, entry, "needs a key, and no customer has one")
	}
}

// countKeys returns the number of keys of all customers.
func (c *checker) countKeys() int {
	sum := 0
	keys := c.table.Keyring()
	for _, holder := range keys.Customers() {
		count, _ := keys.CountKeys(holder.Name(), keys)
		sum += count
	}
	return sum
}

// checkServices checks the settings of services.
func (c *checker) checkServices(used map[string]bool) {
	services := maps.Collect(c.table.Services())
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s, entry := services[name], serviceEntry(name)
		if !used[name] {
			c.add(Unreachable, entry, "no route names it")
		}
		if !strings.HasPrefix(s.HealthPath, "/") {
			c.add(Contradiction, entry, "no health check is possible at path %q", s.HealthPath)
		}
		if s.MaxConnections < 0 {
			c.add(Contradiction, entry, "limit of %d connections", s.MaxConnections)
		}
	}
}

// checkCustomers checks the customers.
func (c *checker) checkCustomers() {
	keys := c.table.Keyring()
	for _, holder := range keys.Customers() {
		entry := customerEntry(holder)
		if count, _ := keys.CountKeys(holder.Name(), keys); count == 0 {
			c.add(Unreachable, entry, "has no key")
		}
		c.checkLimit(entry, holder)
	}
}

// checkLimit checks the limit of a customer.
func (c *checker) checkLimit(entry string, holder *customer.Customer) {
	allowed := holder.Rate()*window.Seconds() + holder.Burst()
	switch {
	case !holder.IsLimited() && holder.Burst() > 0:
		c.add(Contradiction, entry, "burst of %g without a rate; there is no limit", holder.Burst())
	case holder.IsLimited() && allowed < 1:
		c.add(Contradiction, entry, "%g requests a second and a burst of %g are less than one request in %s", holder.Rate(), holder.Burst(), window)
	}
}
