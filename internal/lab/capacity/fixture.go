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

// Ratios of the long-run target.
const (
	targetServers  = 7200
	targetServices = 1300
	domains        = 7
)

const (
	// classes is the number of classes of calls in a contract.
	classes  = 4
	deadline = time.Second
	window   = 10 * time.Minute
	// self is the number of the node that is measured.
	self = 65535
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func id(n int) instance.ID {
	address := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return instance.New(netip.AddrPortFrom(address, 7000), 1)
}

func serviceName(n int) string { return fmt.Sprintf("service-%d", n) }

func customerName(n int) string { return fmt.Sprintf("customer-%d", n) }

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

// servicesOf returns the number of services of so many servers.
func servicesOf(servers int) int { return max(servers*targetServices/targetServers, 1) }

func facts(n int) *message.Metadata {
	return &message.Metadata{
		Services: []string{serviceName(n % targetServices)}, Region: fmt.Sprintf("region-%d", n%3), Domain: domainName(n),
	}
}

// terms returns the contract of a customer for the first services.
func terms(customer, services int) contract.Document {
	d := contract.Document{
		Customer: customerName(customer), Rate: 1e6, Burst: 1_000_000, Retries: 3, Window: contract.Duration(window),
	}
	for i := range classes {
		d.Calls = append(d.Calls, contract.Call{
			Name: fmt.Sprintf("call-%d", i), Service: serviceName((customer + i) % services), Path: "/",
			Importance: importance.Normal, Repeat: true, Deadline: contract.Duration(deadline),
		})
	}
	return d
}

// contracts holds the contracts that a dispatcher looks up.
type contracts map[string]*contract.Contract

// Contract implements dispatcher.Contracts.
func (c contracts) Contract(customer string) (*contract.Contract, bool) {
	terms, ok := c[customer]
	return terms, ok
}

func newContracts(customers, services int) contracts {
	c := make(contracts, customers)
	for i := range customers {
		c[customerName(i)] = contract.FromDocument(terms(i, services))
	}
	return c
}
