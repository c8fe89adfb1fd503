package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Sizes of the long-run target in docs/design.md.
const (
	targetServers  = 7200
	targetServices = 1300
	domains        = 7
)

const (
	callsPerContract = 4
	callDeadline     = time.Second
	keyWindow        = 10 * time.Minute
	// measuredNode is the index of the node under measurement.
	measuredNode = 65535
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func id(n int) instance.ID {
	address := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return instance.New(netip.AddrPortFrom(address, 7000), 1)
}

func serviceName(n int) string { return fmt.Sprintf("service-%d", n) }

func customerName(n int) string { return fmt.Sprintf("customer-%d", n) }

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

// servicesOf returns the number of services for a number of servers, in the
// proportion of the target.
func servicesOf(servers int) int { return max(servers*targetServices/targetServers, 1) }

func newMetadata(n int) *message.Metadata {
	return &message.Metadata{
		Services: []string{serviceName(n % targetServices)}, Region: fmt.Sprintf("region-%d", n%3), Domain: domainName(n),
	}
}

// newDocument returns the contract document of a customer, with calls to the
// first services.
func newDocument(customer, services int) contract.Document {
	d := contract.Document{
		Customer: customerName(customer), Rate: 1e6, Burst: 1_000_000, Retries: 3, Window: contract.Duration(keyWindow),
	}
	for i := range callsPerContract {
		d.Calls = append(d.Calls, contract.Call{
			Name: fmt.Sprintf("call-%d", i), Service: serviceName((customer + i) % services), Path: "/",
			Importance: importance.Normal, Repeat: true, Deadline: contract.Duration(callDeadline),
		})
	}
	return d
}

// contracts implements dispatcher.Contracts by customer name.
type contracts map[string]*contract.Contract

// Contract implements dispatcher.Contracts.
func (c contracts) Contract(customer string) (*contract.Contract, bool) {
	found, ok := c[customer]
	return found, ok
}

func newContracts(customers, services int) contracts {
	c := make(contracts, customers)
	for i := range customers {
		c[customerName(i)] = contract.FromDocument(newDocument(i, services))
	}
	return c
}
