package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// expect compares a figure with a value.
func expect(s *stage, arguments []string) error {
	last := len(arguments) - 1
	want, err := strconv.ParseFloat(arguments[last], 64)
	if err != nil {
		return err
	}
	name, operator := arguments[:last-1], arguments[last-1]
	got, err := s.figure(name)
	if err != nil {
		return err
	}
	holds, ok := operators[operator]
	if !ok {
		return &ArgumentError{text: operator}
	}
	if !holds(got, want) {
		return &ExpectError{figure: strings.Join(name, " "), got: got, operator: operator, want: want}
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

// figure returns the value of a figure.
func (s *stage) figure(name []string) (float64, error) {
	verdict := s.world.Verdict()
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
		return share(s.requests(importance.Background)), nil
	case "critical":
		return share(s.requests(importance.Critical)), nil
	case "goodput":
		return s.goodput(), nil
	case "versions":
		return float64(len(s.world.DeclarationVersions())), nil
	case "crashes":
		return float64(s.world.Crashes()), nil
	}
	return s.figureOf(name)
}

// figureOf returns the value of a figure that needs an argument.
func (s *stage) figureOf(name []string) (float64, error) {
	switch {
	case name[0] == "runs" && len(name) == 3:
		host, err := s.host(name[1:])
		return float64(s.world.RunsSince(host, s.mark)), err
	case name[0] == "rate" && len(name) == 2:
		return s.world.Rate(name[1]), nil
	case name[0] == "told" && len(name) == 2:
		return float64(s.world.OutcomeCounts()[name[1]]), nil
	}
	return 0, &ArgumentError{text: fmt.Sprint(name)}
}

// requests returns the requests since the mark of at least a given importance.
func (s *stage) requests(level importance.Level) []history.Request {
	var found []history.Request
	for _, r := range s.world.History().Requests() {
		if !r.Arrived.Before(s.mark) && r.Importance >= level {
			found = append(found, r)
		}
	}
	return found
}

func share(requests []history.Request) float64 {
	whole := 0
	for _, r := range requests {
		if r.Complete() {
			whole++
		}
	}
	if len(requests) == 0 {
		return 0
	}
	return float64(whole) / float64(len(requests))
}

func (s *stage) goodput() float64 {
	whole := 0
	for _, r := range s.world.History().Requests() {
		if r.Complete() && !r.Completed.Before(s.mark) {
			whole++
		}
	}
	return float64(whole) / s.world.Now().Sub(s.mark).Seconds()
}
