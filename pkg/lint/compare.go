package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/papayapath/papayapath/pkg/routing"
)

// Compare returns the differences of a configuration from the one in force. A version that
// is not higher is a fault.
func Compare(inForce, next *routing.Table) []Finding {
	var findings []Finding
	if next.Version() <= inForce.Version() {
		findings = append(findings, Finding{
			Kind: Outdated, Entry: "version", Text: fmt.Sprintf("%08x is not higher than %08x, which is in force", next.Version(), inForce.Version()),
		})
	}
	changes := append(difference(viewTable(inForce, next), viewTable(next, inForce)), exchangedKeys(inForce, next)...)
	slices.SortStableFunc(changes, func(a, b Finding) int { return strings.Compare(a.Entry, b.Entry) })
	return append(findings, changes...)
}

// exchangedKeys returns the changes of the keys of customers that are in both
// configurations, as numbers.
func exchangedKeys(inForce, next *routing.Table) []Finding {
	var findings []Finding
	for _, c := range next.Keyring().Customers() {
		if inForce.Keyring().Customer(c.Name()) == nil {
			continue
		}
		before, kept := inForce.Keyring().CountKeys(c.Name(), next.Keyring())
		after, _ := next.Keyring().CountKeys(c.Name(), inForce.Keyring())
		if before != kept || after != kept {
			findings = append(findings, Finding{
				Kind: Difference, Entry: customerEntry(c), Text: fmt.Sprintf("keys: %d added, %d removed, %d kept", after-kept, before-kept, kept),
			})
		}
	}
	return findings
}

// difference returns the differences of two sets of entries. A library that compares any
// values (go-cmp) compiles patterns at the start of each process, which took 0.2 MB of the
// node.
func difference(before, after map[string]view) []Finding {
	var findings []Finding
	add := func(entry, format string, arguments ...any) {
		findings = append(findings, Finding{Kind: Difference, Entry: entry, Text: fmt.Sprintf(format, arguments...)})
	}
	for entry, old := range before {
		if _, ok := after[entry]; !ok {
			add(entry, "removed: %s", old)
		}
	}
	for entry, v := range after {
		old, ok := before[entry]
		if !ok {
			add(entry, "added: %s", v)
			continue
		}
		for _, field := range slices.Sorted(maps.Keys(v)) {
			if old[field] != v[field] {
				add(entry, "%s: %s -> %s", field, old[field], v[field])
			}
		}
	}
	return findings
}

// view is what is compared of an entry: values as text, by field. Entries of a kind have
// the same fields.
type view map[string]string

// String returns the fields in order of their names.
func (v view) String() string {
	fields := slices.Sorted(maps.Keys(v))
	for i, name := range fields {
		fields[i] = name + " " + v[name]
	}
	return strings.Join(fields, ", ")
}

// viewTable returns the entries of a table that is compared with another one. No key is
// among them. The number of keys is told of customers that only one table has;
// exchangedKeys compares those of the others.
func viewTable(t, other *routing.Table) map[string]view {
	l := t.Limits()
	entries := map[string]view{"limits": {
		"header bytes": fmt.Sprint(l.HeaderBytes), "body bytes": fmt.Sprint(l.BodyBytes),
		"header time-out": l.HeaderTimeout.String(), "idle time-out": l.IdleTimeout.String(),
	}}
	for _, host := range t.Hosts() {
		for _, r := range slices.Backward(t.Routes(host)) { // the first of those with the same prefix is in use
			entries["route "+host+r.Prefix()] = viewRoute(r)
		}
	}
	for name, s := range t.Services() {
		entries[serviceEntry(name)] = view{"health path": s.HealthPath, "connections": fmt.Sprint(s.MaxConnections)}
	}
	for _, c := range t.Keyring().Customers() {
		v := view{"importance": c.Level().String(), "rate": fmt.Sprint(c.Rate()), "burst": fmt.Sprint(c.Burst())}
		if other.Keyring().Customer(c.Name()) == nil {
			count, _ := t.Keyring().CountKeys(c.Name(), t.Keyring())
			v["keys"] = fmt.Sprint(count)
		}
		entries[customerEntry(c)] = v
	}
	return entries
}

// viewRoute returns the fields of a route.
func viewRoute(r *routing.Route) view {
	var services []string
	for service, weight := range r.Services() {
		services = append(services, fmt.Sprintf("%s (%d)", service, weight))
	}
	return view{
		"name": r.Name(), "repeatable": fmt.Sprint(r.Repeatable()), "open without key": fmt.Sprint(r.Open()), "importance": r.Level().String(),
		"time-out": r.Timeout().String(), "latency objective": r.Objective().String(), "attempts": fmt.Sprint(r.MaxAttempts()),
		"services": strings.Join(services, " and "),
	}
}
