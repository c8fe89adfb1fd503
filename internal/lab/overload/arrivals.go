package overload

import "time"

// arrivalStep is the distance of the windows in which arrivals are counted.
const arrivalStep = 100 * time.Millisecond

// arrivals counts the requests and calls that reach the servers of a service, and the
// attempts among them beyond the first, in steps of arrivalStep.
type arrivals struct{ first, repeated []int }

// recordArrival records that a run begins at a server.
func (sim *Simulation) recordArrival(r *run) {
	a := sim.arrivals[r.call.class.Service]
	if a == nil {
		a = &arrivals{}
		sim.arrivals[r.call.class.Service] = a
	}
	for step := int(r.started.Sub(startTime) / arrivalStep); len(a.first) <= step; {
		a.first, a.repeated = append(a.first, 0), append(a.repeated, 0)
	}
	if r.isRepeat {
		a.repeated[len(a.repeated)-1]++
	} else {
		a.first[len(a.first)-1]++
	}
}

// BudgetUse returns the largest part of the retry budget of a service that was used in
// any window. Requests are counted in that window, in the one before it or in the one
// half a window before it, whichever has most.
func (sim *Simulation) BudgetUse(service string) float64 {
	a := sim.arrivals[service]
	if a == nil {
		return 0
	}
	window := int(retryBudgetWindow / arrivalStep)
	most := 0.0
	for end := range len(a.first) + 1 {
		requests := max(sumLast(a.first, end, window), sumLast(a.first, end-window/2, window), sumLast(a.first, end-window, window))
		budget := retryBudgetRatio*float64(requests) + retryBudgetSlack
		most = max(most, float64(sumLast(a.repeated, end, window))/budget)
	}
	return most
}

// sumLast returns the sum of the n counts before end.
func sumLast(counts []int, end, n int) int {
	sum := 0
	for _, c := range counts[max(0, end-n):max(0, end)] {
		sum += c
	}
	return sum
}
