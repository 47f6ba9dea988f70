package crowds

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A crowd is a number of callers, each with a connection of its own. Each sends
// its first part. Once all have, each sends its last part, and then its drip
// again and again, without reading an answer, until the test lets it leave.
type crowd struct {
	callers int
	first   func(d *door, caller int) string
	// last and drip may be nil.
	last, drip func(d *door, caller int) string
}

const (
	// writeTimeout bounds each write of a caller and gatherTimeout the first
	// parts of all, so that a crowd that is not read stops by itself.
	writeTimeout  = 4 * time.Second
	gatherTimeout = 10 * time.Second
	dripInterval  = 200 * time.Millisecond
	// settleTime is the time from the last parts to the ordinary request.
	settleTime = 1500 * time.Millisecond
	// ordinaryTimeout bounds the tries of the ordinary request. It is less than
	// the 10 s after which instances end slow requests by themselves.
	ordinaryTimeout = 8 * time.Second
)

// play lets the crowd come and leave, and checks that the process lives, that its
// memory and descriptors stay under their bounds, and that an ordinary request
// is answered while the crowd is connected and after it left. The memory is the
// peak of the resident set (VmHWM): a limit on a machine's memory acts on a peak,
// which samples may miss.
func play(t *testing.T, newDoor func(t *testing.T) *door, c crowd) {
	if !*runCrowds {
		t.Skip("needs the flag -crowds")
	}
	d := newDoor(t)
	awaitThat(t, "an ordinary request is answered", func() bool { return d.ordinary() == http.StatusOK })
	pid := d.process.Command.Process.Pid
	before := peakMemory(t, pid)
	stopSampling, mostDescriptors := sampleDescriptors(pid)
	defer stopSampling()

	leave, all := make(chan struct{}), &sync.WaitGroup{}
	gathered := &sync.WaitGroup{}
	everyone := make(chan struct{})
	for n := range c.callers {
		gathered.Add(1)
		all.Go(func() { c.join(d, n, sync.OnceFunc(gathered.Done), everyone, leave) })
	}
	waitFor(gathered, gatherTimeout)
	close(everyone)
	time.Sleep(settleTime)
	during := d.ordinaryWithin(ordinaryTimeout)
	close(leave)
	all.Wait()
	after := d.ordinaryWithin(ordinaryTimeout)
	stopSampling()

	select {
	case <-d.process.Done:
		t.Fatal("the process has ended")
	default:
	}
	peak := peakMemory(t, pid)
	t.Logf("peak memory %d kB before, %d kB in the end, bound %d kB; descriptors %d, bound %d; ordinary request %t during, %t after",
		before, peak, memoryMB<<10, mostDescriptors(), descriptors, during, after)
	if peak >= memoryMB<<10 {
		t.Error("the memory is not bounded")
	}
	if mostDescriptors() >= descriptors {
		t.Error("the descriptors are used up")
	}
	if !during || !after {
		t.Error("an ordinary request was not answered")
	}
}

// join lets a caller take part.
func (c *crowd) join(d *door, n int, gathered func(), everyone, leave <-chan struct{}) {
	defer gathered()
	conn, err := net.DialTimeout("tcp", d.address, writeTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	// Little of an unread answer fits into the caller's buffer.
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	write := func(part string) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.Write([]byte(part))
		return err == nil
	}
	connected := write(c.first(d, n))
	gathered()
	<-everyone
	if connected && c.last != nil {
		connected = write(c.last(d, n))
	}
	ticker := time.NewTicker(dripInterval)
	defer ticker.Stop()
	for {
		select {
		case <-leave:
			return
		case <-ticker.C:
			if connected && c.drip != nil {
				connected = write(c.drip(d, n))
			}
		}
	}
}

// ordinaryWithin sends ordinary requests until one is answered, and reports whether
// one was within the time.
func (d *door) ordinaryWithin(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if d.ordinary() == http.StatusOK {
			return true
		}
	}
	return false
}

// waitFor waits for a group, at most for the timeout.
func waitFor(group *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// peakMemory returns the peak of the resident set of a process in kB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the process has no VmHWM")
	}
	value, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// sampleDescriptors counts the open descriptors of a process until stop is called.
func sampleDescriptors(pid int) (stop func(), most func() int) {
	end, ended := make(chan struct{}), make(chan struct{})
	var highest atomic.Int64
	go func() {
		defer close(ended)
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			highest.Store(max(highest.Load(), int64(len(entries))))
			select {
			case <-end:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return sync.OnceFunc(func() { close(end); <-ended }), func() int { return int(highest.Load()) }
}

// smallFields returns header fields of a few bytes each, with a total of about size
// bytes.
func smallFields(size int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, "a%d: b\r\n", n)
	}
	return fields.String()
}

// withLength returns the head of a request with a body of size bytes.
func (d *door) withLength(line string, size int) string {
	return line + " HTTP/1.1\r\n" + d.head + "Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
}

// chunkedHead returns the head of a request with a chunked body.
func (d *door) chunkedHead(line string) string {
	return line + " HTTP/1.1\r\n" + d.head + "Transfer-Encoding: chunked\r\n\r\n"
}

// largeChunks returns chunks of 64 kB with size bytes in all.
func largeChunks(size int) string {
	const chunk = 64 << 10
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk)), size/chunk)
}

func text(value string) func(*door, int) string {
	return func(*door, int) string { return value }
}

var (
	// headsOverLimit are heads of 60 kB, with a limit of 16 kB, in small fields,
	// which take the most memory for their size.
	headsOverLimit = crowd{
		callers: 300,
		first:   func(d *door, _ int) string { return d.plain + " HTTP/1.1\r\n" + d.head + smallFields(60000) },
		last:    text("\r\n"),
	}
	// headsWithoutEnd are more callers than there are descriptors, each with a
	// head that goes on.
	headsWithoutEnd = crowd{
		callers: 420,
		first:   func(d *door, _ int) string { return d.plain + " HTTP/1.1\r\n" + d.head + smallFields(12000) },
		drip:    text("more: fields\r\n"),
	}
	// emptyLines are more callers than there are descriptors, which send empty
	// lines in place of a request.
	emptyLines = crowd{
		callers: 420,
		first:   text(strings.Repeat("\r\n", 1000)),
		drip:    text("\r\n\r\n"),
	}
	// wholeBodies are bodies of the largest size, all in progress at once.
	wholeBodies = crowd{
		callers: 150,
		first: func(d *door, _ int) string {
			return d.withLength(d.plain, maxBodyBytes) + strings.Repeat("b", maxBodyBytes-1)
		},
		last: text("b"),
	}
	// stoppedBodies are bodies of the largest size that stop a byte short.
	stoppedBodies = crowd{
		callers: 150,
		first: func(d *door, _ int) string {
			return d.withLength(d.plain, maxBodyBytes) + strings.Repeat("b", maxBodyBytes/2)
		},
		last: text(strings.Repeat("b", maxBodyBytes/2-1)),
	}
	// stoppedLargeChunks are chunked bodies without the last chunk.
	stoppedLargeChunks = crowd{
		callers: 150,
		first:   func(d *door, _ int) string { return d.chunkedHead(d.plain) + largeChunks(maxBodyBytes-1<<17) },
		last:    text(largeChunks(1 << 16)),
	}
	// smallChunks are bodies in chunks of a byte, in part with long extensions, or
	// with a trailer that goes on.
	smallChunks = crowd{
		callers: 300,
		first: func(d *door, caller int) string {
			switch caller % 3 {
			case 0:
				return d.chunkedHead(d.plain) + strings.Repeat("1\r\nc\r\n", 32000)
			case 1:
				return d.chunkedHead(d.plain) + strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nc\r\n", 100)
			}
			return d.chunkedHead(d.plain) + "1\r\nc\r\n0\r\n" + smallFields(8000)
		},
		drip: func(_ *door, caller int) string {
			if caller%3 == 2 {
				return "more: trailers\r\n"
			}
			return "1\r\nc\r\n"
		},
	}
	// unreadAnswers are requests for answers of 4 MB that are not read.
	unreadAnswers = crowd{
		callers: 100,
		first:   func(d *door, _ int) string { return d.withLength(d.large, 5) },
		last:    text("small"),
	}
	// unreadStreams are requests for streams of several MB that are not read.
	unreadStreams = crowd{
		callers: 100,
		first:   func(d *door, _ int) string { return d.withLength(d.stream, len(d.streamBody)) },
		last:    func(d *door, _ int) string { return d.streamBody },
	}
)

// The tests guard against crowds that end an instance by its memory, use up its
// descriptors, or keep ordinary callers out. Each has one kind of crowd at one
// of the two interfaces for callers.

func TestHeadsOverTheLimit(t *testing.T) { play(t, newSharedDoor, headsOverLimit) }

func TestHeadsWithoutEnd(t *testing.T)                 { play(t, newSharedDoor, headsWithoutEnd) }
func TestEmptyLinesWithoutEnd(t *testing.T)            { play(t, newSharedDoor, emptyLines) }
func TestManyWholeBodies(t *testing.T)                 { play(t, newSharedDoor, wholeBodies) }
func TestManyStoppedBodies(t *testing.T)               { play(t, newSharedDoor, stoppedBodies) }
func TestManyStoppedLargeChunks(t *testing.T)          { play(t, newSharedDoor, stoppedLargeChunks) }
func TestManySmallChunks(t *testing.T)                 { play(t, newSharedDoor, smallChunks) }
func TestUnreadAnswers(t *testing.T)                   { play(t, newSharedDoor, unreadAnswers) }
func TestUnreadStreams(t *testing.T)                   { play(t, newSharedDoor, unreadStreams) }
func TestHeadsOverTheLimitAtOwnInterface(t *testing.T) { play(t, newOwnInterface, headsOverLimit) }

func TestHeadsWithoutEndAtOwnInterface(t *testing.T)      { play(t, newOwnInterface, headsWithoutEnd) }
func TestEmptyLinesWithoutEndAtOwnInterface(t *testing.T) { play(t, newOwnInterface, emptyLines) }
func TestManyWholeBodiesAtOwnInterface(t *testing.T)      { play(t, newOwnInterface, wholeBodies) }
func TestManyStoppedBodiesAtOwnInterface(t *testing.T)    { play(t, newOwnInterface, stoppedBodies) }

func TestManyStoppedLargeChunksAtOwnInterface(t *testing.T) {
	play(t, newOwnInterface, stoppedLargeChunks)
}
func TestManySmallChunksAtOwnInterface(t *testing.T) { play(t, newOwnInterface, smallChunks) }
func TestUnreadAnswersAtOwnInterface(t *testing.T)   { play(t, newOwnInterface, unreadAnswers) }
func TestUnreadStreamsAtOwnInterface(t *testing.T)   { play(t, newOwnInterface, unreadStreams) }
