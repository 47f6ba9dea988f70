package processes

import "golang.org/x/sync/errgroup"

// newGroup returns an empty group, for the goroutines of a test.
func newGroup() *errgroup.Group {
	return &errgroup.Group{}
}
