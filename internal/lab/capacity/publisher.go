package capacity

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// batch is the number of contracts in one record while a state is filled.
const batch = 100

// publisher keeps a state and the log that it follows.
type publisher struct {
	*declarations.State
	offset int64
}

// declared returns a state with n contracts in force.
func declared(n int) any { return newPublisher(n) }

func newPublisher(n int) *publisher {
	random := rand.New(rand.NewPCG(1, 1))
	p := &publisher{State: declarations.New(id(self), random)}
	for from := 0; from < n; from += batch {
		var documents []contract.Document
		for i := from; i < min(from+batch, n); i++ {
			documents = append(documents, terms(i, targetServices))
		}
		p.publish(documents)
	}
	p.Results()
	return p
}

// record returns the next record of the log.
func (p *publisher) record(documents []contract.Document) (stream.Record, error) {
	data, err := message.Encode(message.DeclarationRecord{Change: &message.Change{
		Base: p.Version(), Operator: "operator", Contracts: documents,
	}})
	return stream.Record{Offset: p.offset, ID: "change-" + strconv.FormatInt(p.offset, 10), Data: data}, err
}

// publish puts documents into force by the log and returns the size of the
// record and the time to apply it.
func (p *publisher) publish(documents []contract.Document) (int, time.Duration, error) {
	r, err := p.record(documents)
	if err != nil {
		return 0, 0, err
	}
	p.offset++
	began := time.Now()
	p.Log(start, stream.Batch{Generation: 1, End: p.offset, Records: []stream.Record{r}})
	return len(r.Data), time.Since(began), nil
}
