package cascades

import "flag"

// init fixes the seed of property tests, so that each run checks the same
// cases. Flags such as -rapid.seed=0 -rapid.checks=20000 override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}
