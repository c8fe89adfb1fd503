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

// contractsPerRecord is the number of contracts per record when filling a state.
const contractsPerRecord = 100

// publisher holds a declaration state and the offset of its next log record.
type publisher struct {
	*declarations.State
	offset int64
}

// filledDeclarations returns a state with n contracts in force.
func filledDeclarations(n int) any { return newPublisher(n) }

func newPublisher(n int) *publisher {
	random := rand.New(rand.NewPCG(1, 1))
	p := &publisher{State: declarations.New(id(measuredNode), random)}
	for from := 0; from < n; from += contractsPerRecord {
		var documents []contract.Document
		for i := from; i < min(from+contractsPerRecord, n); i++ {
			documents = append(documents, newDocument(i, targetServices))
		}
		p.publish(documents)
	}
	p.Results()
	return p
}

// record encodes the next record of the log.
func (p *publisher) record(documents []contract.Document) (stream.Record, error) {
	data, err := message.Encode(message.DeclarationRecord{Change: &message.Change{
		Base: p.Version(), Operator: "operator", Contracts: documents,
	}})
	return stream.Record{Offset: p.offset, ID: "change-" + strconv.FormatInt(p.offset, 10), Data: data}, err
}

// publish applies documents through a log record and returns the size of the
// record in bytes and the time to apply it.
func (p *publisher) publish(documents []contract.Document) (int, time.Duration, error) {
	r, err := p.record(documents)
	if err != nil {
		return 0, 0, err
	}
	p.offset++
	startedAt := time.Now()
	p.Log(start, stream.Batch{Generation: 1, End: p.offset, Records: []stream.Record{r}})
	return len(r.Data), time.Since(startedAt), nil
}
