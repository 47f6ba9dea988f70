package peers

import (
	"context"
	"maps"

	"github.com/gravitational/trace"
)

// DocumentVersion is the version of a document that an instance has.
type DocumentVersion struct {
	// Revision increases with each change of the document in an era.
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the hash of the content. Versions with the same digest need no
	// synchronization.
	Digest uint64 `cbor:"2,keyasint"`
	// Era is the era of the store to which the revision belongs, zero if it is not known.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// Documents connects a node to the documents that instances replicate as a
// whole. The version with the highest revision of the highest era wins. The zero value has
// no documents.
type Documents struct {
	// Versions returns the versions of the local documents by name.
	Versions func() map[string]DocumentVersion
	// Snapshot returns a document and its version, or false if it is not known.
	Snapshot func(name string) (content []byte, version DocumentVersion, ok bool)
	// Apply receives a peer's version of a document, which may by then be older
	// than the local one.
	Apply func(name string, version DocumentVersion, content []byte)
}

// documentMessage requests a document by name, or carries one.
type documentMessage struct {
	Name    string          `cbor:"1,keyasint"`
	Version DocumentVersion `cbor:"2,keyasint,omitempty"`
	Content []byte          `cbor:"3,keyasint,omitempty"`
}

// versions returns the versions of the local documents, nil without documents.
func (d *Documents) versions() map[string]DocumentVersion {
	if d.Versions == nil {
		return nil
	}
	return d.Versions()
}

// After reports whether a version is later than the other one. If the era of one is not
// known, only the revisions count.
func (v DocumentVersion) After(other DocumentVersion) bool {
	if v.Era != other.Era && v.Era != 0 && other.Era != 0 {
		return v.Era > other.Era
	}
	return v.Revision > other.Revision
}

// newerThan reports whether a version is later than the other and has different content.
func (v DocumentVersion) newerThan(other DocumentVersion) bool {
	return v.After(other) && v.Digest != other.Digest
}

// syncDocuments fetches each document of which the peer has a newer version,
// and sends each of which this instance has a newer version.
func (n *Node) syncDocuments(ctx context.Context, c *client, remote map[string]DocumentVersion) error {
	local := n.Documents.versions()
	names := maps.Clone(local)
	if names == nil {
		names = map[string]DocumentVersion{}
	}
	maps.Copy(names, remote)
	for name := range names {
		switch {
		case n.Documents.Apply != nil && remote[name].newerThan(local[name]):
			answer := &documentMessage{}
			if err := c.callLocked(ctx, rpcDocument, &documentMessage{Name: name}, answer); err != nil {
				return trace.Wrap(err)
			}
			n.receiveDocument(answer)
		case local[name].newerThan(remote[name]):
			content, version, ok := n.Documents.Snapshot(name)
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

// serveDocument returns the requested document.
func (n *Node) serveDocument(_ context.Context, message *documentMessage) (*documentMessage, error) {
	if n.Documents.Snapshot == nil {
		return nil, trace.NotFound("no documents here")
	}
	content, version, ok := n.Documents.Snapshot(message.Name)
	if !ok {
		return nil, trace.NotFound("document %q is not known", message.Name)
	}
	return &documentMessage{Name: message.Name, Version: version, Content: content}, nil
}

// serveOfferDocument receives a document of which the caller has a newer
// version.
func (n *Node) serveOfferDocument(_ context.Context, message *documentMessage) (*emptyMessage, error) {
	n.receiveDocument(message)
	return &emptyMessage{}, nil
}

func (n *Node) receiveDocument(message *documentMessage) {
	if n.Documents.Apply != nil && message.Name != "" {
		n.Documents.Apply(message.Name, message.Version, message.Content)
	}
}
