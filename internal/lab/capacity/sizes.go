package capacity

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// MessageSize is the size of an encoded message.
type MessageSize struct {
	Name  string `json:"name"`
	Bytes int    `json:"bytes"`
}

// encodeFrame encodes a control message as a link sends it.
func encodeFrame(from instance.ID, c message.Control) ([]byte, error) {
	return message.Encode(message.Frame{From: from, Control: &c})
}

// measureMessageSizes returns the sizes of control messages that do not depend on
// the system size.
func measureMessageSizes() ([]MessageSize, error) {
	version := stream.At(1, 1_000_000)
	kinds := []struct {
		name    string
		control message.Control
	}{
		{"digest of the declarations", message.Control{DeclarationsDigest: &message.DeclarationsDigest{Version: version, Hash: 1 << 63}}},
		{"promise request", message.Control{PromiseRequest: &message.PromiseRequest{
			Service: serviceName(1000), Epoch: 1 << 40, Table: "table-1000", From: id(1), To: id(2), Round: 1000, Duration: callDeadline,
		}}},
	}
	var sizes []MessageSize
	for _, k := range kinds {
		data, err := encodeFrame(id(1), k.control)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, MessageSize{Name: k.name, Bytes: len(data)})
	}
	return sizes, nil
}
