package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/operator"
)

// consoleTimeout bounds a request to a node's console.
const consoleTimeout = 3 * time.Second

// status shows the state of nodes.
type status struct{ format string }

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show the state of nodes" }

func (*status) Usage() string {
	return `status [-format table|json] ADDRESS...
Show the state of the nodes whose HTTP for operators is at the addresses. Fails
if one of them can't be reached.
`
}

func (c *status) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.format, "format", "table", "table or json")
}

func (c *status) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if f.NArg() == 0 {
		return exit(s, &UsageError{reason: "status: at least one address is required"})
	}
	var reports []operator.Report
	var failed error
	for _, address := range f.Args() {
		r, err := fetchReport(ctx, address)
		if err != nil {
			failed = err
			_, _ = fmt.Fprintln(s.Err, "papayapath:", err)
			continue
		}
		reports = append(reports, r)
	}
	if err := c.show(s, reports); err != nil {
		return exit(s, err)
	}
	if failed != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *status) show(s Streams, reports []operator.Report) error {
	if c.format == "json" {
		return json.NewEncoder(s.Out).Encode(reports)
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tSERVICE\tREADY\tVERSION\tDRAINING\tLIMIT\tRUNNING\tQUEUED\tTHRESHOLD\tLEASE\tMEMBERS")
	for _, r := range reports {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%t\t%d\t%d\t%d\t%d\t%d ms\t%d\n", r.Node, r.Service, r.Ready,
			r.Version, r.Draining, r.Limit, r.Running, r.Queued, r.Threshold, r.Lease, len(r.Members))
	}
	return w.Flush()
}

func fetchReport(ctx context.Context, address string) (operator.Report, error) {
	var r operator.Report
	response, err := askConsole(ctx, http.MethodGet, address, "/status", "")
	if err != nil {
		return r, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
		return r, &ConsoleError{address: address, cause: err}
	}
	return r, nil
}

// askConsole makes a request to a node's console. It returns a *ConsoleError
// unless the answer has a status of success.
func askConsole(ctx context.Context, method, address, path, token string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, &ConsoleError{address: address, cause: err}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client := http.Client{Timeout: consoleTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, &ConsoleError{address: address, cause: err}
	}
	if response.StatusCode/100 != 2 {
		_ = response.Body.Close()
		return nil, &ConsoleError{address: address, status: response.Status}
	}
	return response, nil
}

// ConsoleError reports a node whose console did not answer as expected.
type ConsoleError struct {
	address string
	status  string
	cause   error
}

// Error names the address and the fault.
func (e *ConsoleError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("node at %s answered %s", e.address, e.status)
	}
	return fmt.Sprintf("node at %s: %v", e.address, e.cause)
}

// Unwrap returns the cause, if any.
func (e *ConsoleError) Unwrap() error { return e.cause }
