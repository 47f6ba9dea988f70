package aggregates

import "flag"

// A fixed seed makes rapid draw the same cases on every run. Flags such as
// -rapid.seed=0 -rapid.checks=20000 override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}
