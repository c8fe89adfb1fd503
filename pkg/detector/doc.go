// Package detector finds members that don't answer. Each node probes the
// others in random order and asks some of them to probe one that is silent,
// after the SWIM protocol (Das, Gupta and Motivala, 2002).
package detector
