package standin

import "fmt"

// ReportCuts counts, for each machine, the requests from kept connections that ran
// on one of the sound servers and whose connection the machine closed without an
// answer. It reports whether a machine has more of them than allowed.
func (d *Deployment) ReportCuts(sound []*Server, allowed int) bool {
	ranOnSound := make(map[string]bool)
	for _, s := range sound {
		for _, r := range s.Runs() {
			ranOnSound[r.ID] = true
		}
	}
	cuts := make(map[string]int)
	for _, a := range d.Attempts() {
		if a.Kept && a.Closed && ranOnSound[a.ID] {
			cuts[a.Node]++
			d.Record.Printf("attempt %s from a kept connection of %s is cut after it was passed on", a.ID, a.Node)
		}
	}
	broken := false
	for _, n := range d.nodes {
		ends, peak := n.Ends()
		count := cuts[n.CallerAddress()]
		broken = broken || count > allowed
		d.report("node %s (%s): %d requests cut, peak %d MB, %d ends for its memory", n.IP, n.Service, count, peak>>20, len(ends))
	}
	d.report("%d requests sent, LOST is broken: %t", len(d.Attempts()), broken)
	return broken
}

// report writes a line to the record and to the standard output.
func (d *Deployment) report(format string, args ...any) {
	d.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
