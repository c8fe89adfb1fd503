package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// expect compares a metric with a value.
func expect(s *scriptState, arguments []string) error {
	last := len(arguments) - 1
	want, err := strconv.ParseFloat(arguments[last], 64)
	if err != nil {
		return err
	}
	name, operator := arguments[:last-1], arguments[last-1]
	got, err := s.metric(name)
	if err != nil {
		return err
	}
	compare, ok := operators[operator]
	if !ok {
		return &ArgumentError{text: operator}
	}
	if !compare(got, want) {
		return &ExpectError{metric: strings.Join(name, " "), got: got, operator: operator, want: want}
	}
	return nil
}

var operators = map[string]func(got, want float64) bool{
	"==": func(got, want float64) bool { return got == want },
	"!=": func(got, want float64) bool { return got != want },
	"<":  func(got, want float64) bool { return got < want },
	"<=": func(got, want float64) bool { return got <= want },
	">":  func(got, want float64) bool { return got > want },
	">=": func(got, want float64) bool { return got >= want },
}

// metric returns the value of a metric.
func (s *scriptState) metric(name []string) (float64, error) {
	verdict := s.simulation.Verdict()
	switch name[0] {
	case "duplicates":
		return float64(verdict.Duplicates), nil
	case "falsehoods":
		return float64(verdict.Falsehoods), nil
	case "partials":
		return float64(verdict.Partials + verdict.Foreign), nil
	case "inversions":
		return float64(verdict.Inversions), nil
	case "requests":
		return float64(len(s.requests(importance.Background))), nil
	case "answered":
		return completeRatio(s.requests(importance.Background)), nil
	case "critical":
		return completeRatio(s.requests(importance.Critical)), nil
	case "goodput":
		return s.goodput(), nil
	case "versions":
		return float64(len(s.simulation.DeclarationVersions())), nil
	case "crashes":
		return float64(s.simulation.Crashes()), nil
	}
	return s.metricWithArgument(name)
}

// metricWithArgument returns the value of a metric that takes arguments.
func (s *scriptState) metricWithArgument(name []string) (float64, error) {
	switch {
	case name[0] == "runs" && len(name) == 3:
		hostIndex, err := s.hostIndex(name[1:])
		return float64(s.simulation.RunsSince(hostIndex, s.measureStart)), err
	case name[0] == "rate" && len(name) == 2:
		return s.simulation.Rate(name[1]), nil
	case name[0] == "told" && len(name) == 2:
		return float64(s.simulation.OutcomeCounts()[name[1]]), nil
	}
	return 0, &ArgumentError{text: fmt.Sprint(name)}
}

// requests returns the requests of at least the given importance that arrived
// since the last mark command.
func (s *scriptState) requests(level importance.Level) []history.Request {
	var found []history.Request
	for _, r := range s.simulation.History().Requests() {
		if !r.Arrived.Before(s.measureStart) && r.Importance >= level {
			found = append(found, r)
		}
	}
	return found
}

func completeRatio(requests []history.Request) float64 {
	complete := 0
	for _, r := range requests {
		if r.Complete() {
			complete++
		}
	}
	if len(requests) == 0 {
		return 0
	}
	return float64(complete) / float64(len(requests))
}

func (s *scriptState) goodput() float64 {
	complete := 0
	for _, r := range s.simulation.History().Requests() {
		if r.Complete() && !r.Completed.Before(s.measureStart) {
			complete++
		}
	}
	return float64(complete) / s.simulation.Now().Sub(s.measureStart).Seconds()
}
