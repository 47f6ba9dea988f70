package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// recoverTime is recover_s of the site.
	recoverTime = 12 * time.Second
	// judgedTime is how long requests are judged, before the final fault and after recoverTime.
	judgedTime = 5 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// powerOff ends all instances at once, calls meanwhile, and starts them again. It returns once
// all are ready.
func (w *world) powerOff(fleet []*process, meanwhile func() error) error {
	w.note("all machines lose power")
	for _, p := range fleet {
		w.kill(p)
	}
	if err := meanwhile(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if _, err := w.startFleet(); err != nil {
		return err
	}
	w.note("all machines are back and ready")
	return nil
}

// servedShare sends requests of all callers for judgedTime and returns the share that is served.
func (w *world) servedShare(phase string, c call) float64 {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var mutex sync.Mutex
	served, sent := 0, 0
	var group sync.WaitGroup
	for n := range fleetSize {
		group.Go(func() {
			for end := time.Now().Add(judgedTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				request := c
				request.instance = n
				a := w.sendAndNote(client, phase, request)
				mutex.Lock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	w.note("%s: %d of %d requests were served", phase, served, sent)
	return float64(served) / float64(sent)
}

// judgeRecovery checks the rule RECOVER, given the share that was served before the final fault
// and the time at which the machines were back.
func (w *world) judgeRecovery(before float64, back time.Time, c call) error {
	w.sleepUntil(back.Add(recoverTime))
	after := w.servedShare("after recover_s", c)
	if before >= 0.25 && after < 0.25 {
		return fmt.Errorf("%w: RECOVER: %.0f %% of the requests were served before the final fault, %.0f %% later than %v after the machines were back", errBroken, 100*before, 100*after, recoverTime)
	}
	return nil
}
