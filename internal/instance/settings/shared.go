package settings

import (
	"net/netip"
	"time"
)

// A SharedPlatform configures an instance on a shared platform, where the
// platform's store lists the upstreams.
type SharedPlatform struct {
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `json:"store_address"`
	// ReadyAddress is the IP address and port of the readiness check, which the
	// balancer polls.
	ReadyAddress string `json:"ready_address"`
	// MemoryMB is the memory available to the instance in MiB, zero for no limit.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// StopGrace is the time from the signal to stop until the process is killed.
	StopGrace Seconds `json:"grace_s,omitempty"`
	// UpstreamDrainMS is the time in milliseconds for which an upstream that is
	// leaving still takes requests.
	UpstreamDrainMS float64 `json:"upstream_drain_ms,omitempty"`
	// SessionTTL is how long a session lasts after the end of its last request.
	SessionTTL Seconds `json:"session_s,omitempty"`
	// RetryRatio and RetrySlack limit the retries of all instances for a service
	// within any RetryWindow: RetryRatio for each request, and RetrySlack in
	// addition.
	RetryRatio  float64 `json:"retry_ratio,omitempty"`
	RetrySlack  float64 `json:"retry_slack,omitempty"`
	RetryWindow Seconds `json:"retry_window_s,omitempty"`
	// MaxExposure is the maximum share of a service's requests, above 0 and at
	// most 1, that may reach a version that turns out bad.
	MaxExposure float64 `json:"exposure_share,omitempty"`
	// ExposureSlack is the number of requests that may reach it in addition.
	ExposureSlack float64 `json:"exposure_slack,omitempty"`
	// ColdOvershoot and ColdAllowance bound the requests of all instances to a cold upstream in
	// any second: ColdOvershoot for each that its service tolerates, and ColdAllowance besides.
	// There is no bound if ColdOvershoot is zero.
	ColdOvershoot float64 `json:"cold_overshoot,omitempty"`
	ColdAllowance float64 `json:"cold_allowance,omitempty"`
	// EvacuateMS is the time in milliseconds after which an evacuated data centre must get no
	// requests. Evacuations are not read if it is zero.
	EvacuateMS float64 `json:"evacuate_ms,omitempty"`
}

// Seconds is a duration in seconds.
type Seconds float64

const (
	defaultGrace       Seconds = 8
	defaultSession     Seconds = 5
	defaultDrainMS             = 2000.0
	defaultRetryRatio          = 0.2
	defaultRetrySlack          = 20
	defaultRetryWindow Seconds = 10
	defaultExposure            = 0.1
)

// Duration returns the seconds as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// DerivedPeerKey returns the peer key for settings without one. It separates
// fleets that use different stores. It need not be secret, since the peers'
// addresses cannot be reached from outside.
func (p *SharedPlatform) DerivedPeerKey() []byte {
	return []byte("fleet at " + p.StoreAddress)
}

// UpstreamDrain returns the time for which an upstream that is leaving still
// takes requests.
func (p *SharedPlatform) UpstreamDrain() time.Duration {
	return time.Duration(p.UpstreamDrainMS * float64(time.Millisecond))
}

// EvacuationTime returns the time after which an evacuated data centre must get no requests, zero
// if evacuations are not read.
func (p *SharedPlatform) EvacuationTime() time.Duration {
	return time.Duration(p.EvacuateMS * float64(time.Millisecond))
}

func (p *SharedPlatform) setDefaults() {
	setDefault(&p.StopGrace, defaultGrace)
	setDefault(&p.UpstreamDrainMS, defaultDrainMS)
	setDefault(&p.SessionTTL, defaultSession)
	setDefault(&p.RetryRatio, defaultRetryRatio)
	setDefault(&p.RetrySlack, defaultRetrySlack)
	setDefault(&p.RetryWindow, defaultRetryWindow)
	setDefault(&p.MaxExposure, defaultExposure)
}

func (p *SharedPlatform) check(add func(field, format string, values ...any)) {
	for _, a := range []struct{ field, value string }{
		{"shared_platform.store_address", p.StoreAddress}, {"shared_platform.ready_address", p.ReadyAddress},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "%q is not an IP number and port, such as 127.0.0.1:8080", a.value)
		}
	}
	for _, s := range []struct {
		field string
		value Seconds
	}{
		{"shared_platform.grace_s", p.StopGrace},
		{"shared_platform.session_s", p.SessionTTL},
		{"shared_platform.retry_window_s", p.RetryWindow},
	} {
		if s.value <= 0 || s.value.Duration() > maxDuration {
			add(s.field, "is %v; want more than 0 and at most %v seconds", s.value, maxDuration.Seconds())
		}
	}
	if p.UpstreamDrainMS <= 0 || p.UpstreamDrain() > maxDuration {
		add("shared_platform.upstream_drain_ms", "is %v; want more than 0 and at most %v", p.UpstreamDrainMS, maxDuration.Milliseconds())
	}
	if p.RetryRatio < 0 || p.RetrySlack < 0 {
		add("shared_platform.retry_ratio", "and retry_slack are not negative")
	}
	if p.MaxExposure <= 0 || p.MaxExposure > 1 {
		add("shared_platform.exposure_share", "is %v; want more than 0 and at most 1", p.MaxExposure)
	}
	if p.ExposureSlack < 0 {
		add("shared_platform.exposure_slack", "is %v; want 0 or more", p.ExposureSlack)
	}
	if p.MemoryMB < 0 {
		add("shared_platform.memory_mb", "is %d; want 0 or more", p.MemoryMB)
	}
	p.checkWarmUp(add)
}

// checkWarmUp checks the bounds for cold upstreams and evacuations.
func (p *SharedPlatform) checkWarmUp(add func(field, format string, values ...any)) {
	if p.ColdOvershoot < 0 || p.ColdAllowance < 0 {
		add("shared_platform.cold_overshoot", "and cold_allowance are not negative")
	}
	if p.ColdAllowance > 0 && p.ColdOvershoot == 0 {
		add("shared_platform.cold_allowance", "needs cold_overshoot")
	}
	if p.EvacuateMS < 0 || p.EvacuationTime() > maxDuration {
		add("shared_platform.evacuate_ms", "is %v; want 0 to %v", p.EvacuateMS, maxDuration.Milliseconds())
	}
}
