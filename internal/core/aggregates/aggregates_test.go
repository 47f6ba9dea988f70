package aggregates

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// exchange sends the child's full values to its parent and the parent's full
// total back.
func exchange(now time.Time, parent, child *TreeNode, id string) {
	subtree := child.SubtreeSum(now)
	parent.UpdateChild(now, id, subtree, true)
	child.UpdateTotal(now, parent.Total(now), true, subtree)
}

// With any order of the exchanges, each node of the tree must reach the exact
// total over all nodes. A value counted twice or dropped would not converge.
func TestTotalsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 20).Draw(t, "nodes")
		nodes := make([]TreeNode, count)
		key := NewKey("demand")
		want := 0.0
		for n := range nodes {
			value := float64(rapid.IntRange(0, 50).Draw(t, "value"))
			nodes[n].SetLocalValues(Values{key: value})
			want += value
		}
		now := start
		for range 2 * count {
			now = now.Add(100 * time.Millisecond)
			for _, n := range rapid.Permutation(integers(1, count)).Draw(t, "order") {
				exchange(now, &nodes[(n-1)/2], &nodes[n], strconv.Itoa(n))
			}
		}
		for n := range nodes {
			if got := nodes[n].Total(now)[key]; math.Abs(got-want) > 1e-9 {
				t.Fatalf("node %d has total %g, want %g", n, got, want)
			}
		}
	})
}

// integers returns the integers of the half-open interval [from, to).
func integers(from, to int) []int {
	var numbers []int
	for n := from; n < to; n++ {
		numbers = append(numbers, n)
	}
	return numbers
}

// The values of a child that has died must leave the total after ValueTTL.
func TestChildExpiresAfterTTL(t *testing.T) {
	is := is.New(t)
	key := NewKey("demand")
	var parent, child TreeNode
	parent.SetLocalValues(Values{key: 1})
	child.SetLocalValues(Values{key: 2})
	exchange(start, &parent, &child, "child")
	is.Equal(parent.Total(start)[key], 3.0)
	is.Equal(parent.Total(start.Add(ValueTTL + 1))[key], 1.0)
}

// Guards against counters that drift because small changes are left out, and
// against important changes that lose to small ones when a message is full.
func TestDelta(t *testing.T) {
	exact, approximate := NewExactKey("bad"), NewKey("demand")
	t.Run("small change of an exact key is sent", func(t *testing.T) {
		is.New(t).Equal(Delta(Values{exact: 1001}, Values{exact: 1000}, nil, 0), Values{exact: 1001})
	})
	t.Run("small change of another key is not sent", func(t *testing.T) {
		is.New(t).Equal(Delta(Values{approximate: 1001}, Values{approximate: 1000}, nil, 9), Values{})
	})
	t.Run("removed key is sent as zero", func(t *testing.T) {
		is.New(t).Equal(Delta(Values{}, Values{approximate: 5, exact: 1}, nil, 9), Values{approximate: 0, exact: 0})
	})
	t.Run("changes largest relative to the total are sent first", func(t *testing.T) {
		small, large := NewKey("small"), NewKey("large")
		current, totals := Values{small: 2, large: 50}, Values{small: 1000, large: 60}
		is.New(t).Equal(Delta(current, nil, totals, 1), Values{large: 50})
	})
}
