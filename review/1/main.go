// Command 1 plays answers without end from two of four servers of a service. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayapath/papayapath/review/standin"
)

const (
	hostName = "hulo84.example"
	memoryMB = 284
	graceS   = 6
	warmUp   = 6 * time.Second
	length   = 92 * time.Second

	// The trouble has the size of garble on a standard day of the site: 0.05 of the
	// answers of half of the servers of a service, for 5 s.
	faultyServers  = 2
	troubleShare   = 0.05
	troubleLength  = 5 * time.Second
	troubleEvery   = 14 * time.Second
	troubleTimes   = 6
	bytesPerSecond = 125_000_000 // of an answer, 1,000 Mbit/s

	// allowedCuts is the number of cut requests up to which the rule holds.
	allowedCuts = 3
)

func main() { os.Exit(run()) }

func run() int {
	d, err := standin.NewDeployment("review/1/record.txt", memoryMB, graceS)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Close()
	var trouble atomic.Bool
	addServers(d, &trouble)
	routes := []standin.Route{
		{Name: "browse", Kind: "safe", Host: hostName, Prefix: "/browse/", Service: "catalogue", ObjectiveMS: 1200, TimeoutMS: 5000, Priority: 2, Attempts: 2},
		{Name: "reserve", Kind: "unsafe", Host: hostName, Prefix: "/reserve/", Service: "catalogue", ObjectiveMS: 1500, TimeoutMS: 800, Priority: 0, Attempts: 2},
		{Name: "check", Kind: "safe", Host: hostName, Prefix: "/check/", Service: "calendars", ObjectiveMS: 150, TimeoutMS: 600, Priority: 1, Attempts: 2},
		{Name: "rules", Kind: "safe", Host: hostName, Prefix: "/rules/", Service: "calendars", ObjectiveMS: 300, TimeoutMS: 700, Priority: 1, Attempts: 2},
	}
	if err := d.Start(routes); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(warmUp)
	if os.Getenv("TROUBLE") != "0" {
		for i := range troubleTimes {
			at := 4*time.Second + time.Duration(i)*troubleEvery
			time.AfterFunc(at, func() { trouble.Store(true); d.Record.Printf("trouble begins") })
			time.AfterFunc(at+troubleLength, func() { trouble.Store(false); d.Record.Printf("trouble ends") })
		}
	}
	send(d)
	return judge(d)
}

func addServers(d *standin.Deployment, trouble *atomic.Bool) {
	call := standin.Call{Host: hostName, Path: "/rules/2f", Deadline: 700 * time.Millisecond}
	for i := range 4 {
		s := &standin.Server{
			ID: fmt.Sprintf("i-catalogue%d", i), Slots: 237, Work: 90 * time.Millisecond, Body: 1500,
			Calling: "/browse/", Calls: []standin.Call{call, call},
		}
		if i < faultyServers {
			s.Fault = func(conn net.Conn, r *http.Request) bool {
				return trouble.Load() && rand.Float64() < troubleShare && answerWithoutEnd(conn, r)
			}
		}
		d.AddServer(s, "catalogue")
	}
	for i := range 3 {
		d.AddServer(&standin.Server{ID: fmt.Sprintf("i-calendars%d", i), Slots: 43, Work: 22 * time.Millisecond, Body: 400}, "calendars")
	}
}

// answerWithoutEnd answers a request with a body that ends when the caller closes.
func answerWithoutEnd(conn net.Conn, r *http.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: none\r\n\r\n", r.Header.Get("Request-Id"))
	if _, err := conn.Write([]byte(head)); err != nil {
		return true
	}
	chunk := make([]byte, 64<<10)
	begin, sent := time.Now(), 0
	for {
		n, err := conn.Write(chunk)
		if err != nil {
			return true
		}
		sent += n
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / bytesPerSecond * float64(time.Second)))))
	}
}

func send(d *standin.Deployment) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for _, l := range []standin.Load{
		{Path: "/browse/2f", Method: http.MethodGet, Rate: 430, Deadline: 5 * time.Second},
		{Path: "/reserve/2f", Method: http.MethodPost, Body: 4000, Rate: 160, Deadline: 5 * time.Second},
		{Path: "/check/2f", Method: http.MethodGet, Rate: 120, Deadline: 600 * time.Millisecond},
	} {
		l.Host, l.Until = hostName, end
		all.Go(func() { d.Send(l) })
	}
	all.Wait()
}

// judge reports whether the rule was broken.
func judge(d *standin.Deployment) int {
	if d.ReportCuts(d.Servers()[faultyServers:], allowedCuts) {
		return 1
	}
	return 0
}
