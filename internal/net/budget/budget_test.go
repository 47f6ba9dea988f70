package budget

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const patience = 500 * time.Millisecond

// newClaim returns a claim without a floor that holds n bytes, and a channel that is closed
// when it loses its place.
func newClaim(t *testing.T, b *Budget, n int64) (*Claim, <-chan struct{}) {
	t.Helper()
	c, evicted := &Claim{}, make(chan struct{})
	c.Init(b, 0)
	c.Watch(time.Now(), patience, func() { close(evicted) })
	is.New(t).NoErr(c.Grow(n))
	return c, evicted
}

// TestStalledClaimLosesItsPlace guards against bodies that stop short and keep the others
// out, and against a slow but steady one that loses its place to them.
func TestStalledClaimLosesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(100 << 10)
		steady, steadyEvicted := newClaim(t, b, 30<<10)
		stalled, stalledEvicted := newClaim(t, b, 60<<10)
		for range 10 {
			time.Sleep(patience / 5)
			steady.Progress(progressStep)
			stalled.Progress(1)
		}
		go func() {
			<-stalledEvicted
			time.Sleep(patience)
			stalled.Release()
		}()
		next, _ := newClaim(t, b, 50<<10)
		is.Equal(stalled.Held(), int64(0))
		is.Equal(b.Counts(), Counts{Evicted: 1})
		select {
		case <-steadyEvicted:
			t.Fatal("the steady claim lost its place")
		default:
		}
		is.NoErr(steady.Keep())
		steady.Release()
		next.Release()
		is.Equal(b.Held(), int64(0))
	})
}

// TestWaitingClaimHasNotStalled guards against a claim that loses its place since it waits for
// bytes and can make no progress meanwhile, and against others that are kept waiting because of it.
func TestWaitingClaimHasNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(100)
		waiting, waitingEvicted := newClaim(t, b, 40)
		first, firstEvicted := newClaim(t, b, 60)
		time.Sleep(patience)
		waiting.Progress(progressStep)
		result := make(chan error)
		go func() { result <- waiting.Grow(60) }()
		<-firstEvicted
		other := &Claim{}
		other.Init(b, 0)
		assertShort := func() {
			start := time.Now()
			is.True(errors.Is(other.Grow(70), ErrShort))
			is.Equal(time.Since(start), time.Duration(0))
			is.Equal(b.Counts().Evicted, int64(1))
		}
		time.Sleep(evictionWait - 1)
		assertShort()
		first.Release()
		is.NoErr(<-result)
		is.Equal(waiting.Held(), int64(100))
		time.Sleep(patience - 1)
		assertShort()
		// Without the wait it has stalled like any other.
		time.Sleep(time.Nanosecond)
		go func() {
			<-waitingEvicted
			is.True(errors.Is(waiting.Keep(), ErrEvicted))
			waiting.Release()
		}()
		is.NoErr(other.Grow(70))
		other.Release()
		is.Equal(b.Held(), int64(0))
	})
}

// TestWaitThatTimesOut guards against a claim that counts as waiting for ever after its wait has
// timed out, and never loses its place.
func TestWaitThatTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(100)
		waiting, waitingEvicted := newClaim(t, b, 40)
		first, _ := newClaim(t, b, 60)
		time.Sleep(patience)
		waiting.Progress(progressStep)
		is.True(errors.Is(waiting.Grow(60), ErrShort))
		first.Release()
		time.Sleep(patience)
		other := &Claim{}
		other.Init(b, 0)
		go func() {
			<-waitingEvicted
			waiting.Release()
		}()
		is.NoErr(other.Grow(70))
		other.Release()
		is.Equal(b.Held(), int64(0))
	})
}

// TestNoClaimIsEvictedInVain guards against stalled claims that lose their places to one that is
// refused all the same, and against more of them than have to.
func TestNoClaimIsEvictedInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(100)
		kept, _ := newClaim(t, b, 40)
		is.NoErr(kept.Keep())
		first, firstEvicted := newClaim(t, b, 30)
		time.Sleep(time.Nanosecond)
		second, _ := newClaim(t, b, 30)
		time.Sleep(patience)
		other := &Claim{}
		other.Init(b, 0)
		is.True(errors.Is(other.Grow(61), ErrShort))
		is.Equal(b.Counts(), Counts{Refused: 1})
		go func() {
			<-firstEvicted
			first.Release()
		}()
		is.NoErr(other.Grow(30))
		is.Equal(b.Counts(), Counts{Refused: 1, Evicted: 1})
		is.NoErr(second.Keep())
		for _, c := range []*Claim{kept, second, other} {
			c.Release()
		}
		is.Equal(b.Held(), int64(0))
	})
}

// TestKeptClaims guards against a request that was read whole and loses its place, against
// waits where nothing will be released, and against small requests that are refused
// because of large ones.
func TestKeptClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(100)
		kept, _ := newClaim(t, b, 100)
		is.NoErr(kept.Keep())
		time.Sleep(2 * patience)
		small := &Claim{}
		small.Init(b, 10)
		start := time.Now()
		is.NoErr(small.Grow(10))
		is.True(errors.Is(small.Grow(1), ErrShort))
		is.Equal(time.Since(start), time.Duration(0))
		kept.Release()
		is.NoErr(small.Grow(1))
		is.Equal(b.Held(), int64(1))
		small.Release()
		is.Equal(b.Held(), int64(0))
		is.Equal(b.Counts(), Counts{Refused: 1})
	})
}

// TestRead guards against bodies whose buffers are larger than what their claims count, and
// against buffers that are allocated by the announced length.
func TestRead(t *testing.T) {
	content := make([]byte, 300_000)
	for n := range content {
		content[n] = byte(rand.IntN(256))
	}
	for _, size := range []int{0, 1, 511, 512, 513, BodyFloor, BodyFloor + 1, len(content)} {
		for _, length := range []int64{int64(size), -1} {
			is := is.New(t)
			c := &Claim{}
			c.Init(New(1<<20), BodyFloor)
			body, err := c.Read(iotest.HalfReader(bytes.NewReader(content[:size])), length)
			is.NoErr(err)
			is.True(bytes.Equal(body, content[:size]))
			is.Equal(c.Held(), int64(cap(body)))
			is.True(length < 0 || cap(body) == size)
		}
	}
	is := is.New(t)
	c := &Claim{}
	c.Init(New(1<<20), BodyFloor)
	_, err := c.Read(io.MultiReader(bytes.NewReader(content[:10]), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<20)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(c.Held() <= BodyFloor)
	c.Init(New(100<<10), BodyFloor)
	_, err = c.Read(bytes.NewReader(content), -1)
	is.True(errors.Is(err, ErrShort))
}

// TestConcurrentClaims guards against bytes that are lost or counted twice where claims grow,
// lose their place and are released at once.
func TestConcurrentClaims(t *testing.T) {
	is := is.New(t)
	const limit = 1000
	b := New(limit)
	group := sync.WaitGroup{}
	for range 16 {
		group.Go(func() {
			for range 300 {
				c := &Claim{}
				c.Init(b, rand.Int64N(20))
				c.Watch(time.Now(), time.Duration(rand.IntN(2)), func() {})
				for range rand.IntN(6) {
					if c.Grow(rand.Int64N(200)-20) != nil {
						break
					}
					c.Progress(progressStep)
				}
				if b.Held() > limit {
					t.Error("the budget is exceeded")
				}
				_ = c.Keep()
				c.Release()
			}
		})
	}
	group.Wait()
	is.Equal(b.Held(), int64(0))
	is.Equal(b.evicting, int64(0))
	is.Equal(len(b.watched), 0)
}
