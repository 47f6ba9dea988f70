package peers

import (
	"context"
	"maps"

	"github.com/gravitational/trace"
)

// A Mark says which state of a document an instance has.
type Mark struct {
	// Revision rises with each change of the document.
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the hash of the content. States with the same digest need no
	// levelling.
	Digest uint64 `cbor:"2,keyasint"`
}

// Documents connects a node to what the instances tell each other whole, the
// newest state of each going before all others. The zero value has none.
type Documents struct {
	// Marks returns the marks of the documents known here.
	Marks func() map[string]Mark
	// Content returns a document and its mark, or false if it is not known.
	Content func(name string) (content []byte, version Mark, ok bool)
	// Take takes a document that a peer has.
	Take func(name string, version Mark, content []byte)
}

// documentMessage asks for a document, or carries one.
type documentMessage struct {
	Name    string `cbor:"1,keyasint"`
	Version Mark   `cbor:"2,keyasint,omitempty"`
	Content []byte `cbor:"3,keyasint,omitempty"`
}

func (d *Documents) versions() map[string]Mark {
	if d.Marks == nil {
		return nil
	}
	return d.Marks()
}

// newerThan reports whether a state has something that the other lacks.
func (m Mark) newerThan(other Mark) bool {
	return m.Revision > other.Revision && m.Digest != other.Digest
}

// syncDocuments brings the older state of each document up to the newer one.
func (n *Node) syncDocuments(ctx context.Context, c *client, remote map[string]Mark) error {
	local := n.Documents.versions()
	names := maps.Clone(local)
	if names == nil {
		names = map[string]Mark{}
	}
	maps.Copy(names, remote)
	for name := range names {
		switch {
		case n.Documents.Take != nil && remote[name].newerThan(local[name]):
			answer := &documentMessage{}
			if err := c.callLocked(ctx, rpcDocument, &documentMessage{Name: name}, answer); err != nil {
				return trace.Wrap(err)
			}
			n.receiveDocument(answer)
		case local[name].newerThan(remote[name]):
			content, version, ok := n.Documents.Content(name)
			if !ok {
				continue
			}
			offer := &documentMessage{Name: name, Version: version, Content: content}
			if err := c.callLocked(ctx, rpcOfferDocument, offer, &emptyMessage{}); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (n *Node) serveDocument(_ context.Context, message *documentMessage) (*documentMessage, error) {
	if n.Documents.Content == nil {
		return nil, trace.NotFound("no documents here")
	}
	content, version, ok := n.Documents.Content(message.Name)
	if !ok {
		return nil, trace.NotFound("document %q is not known", message.Name)
	}
	return &documentMessage{Name: message.Name, Version: version, Content: content}, nil
}

func (n *Node) serveOfferDocument(_ context.Context, message *documentMessage) (*emptyMessage, error) {
	n.receiveDocument(message)
	return &emptyMessage{}, nil
}

func (n *Node) receiveDocument(message *documentMessage) {
	if n.Documents.Take != nil && message.Name != "" {
		n.Documents.Take(message.Name, message.Version, message.Content)
	}
}
