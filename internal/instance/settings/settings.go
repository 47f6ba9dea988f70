// Package settings reads the settings of an instance from a JSON file.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mimosayard/internal/core/tables"
)

// A Settings configures an instance. See docs/SETTINGS.md for the fields.
type Settings struct {
	Instance   tables.InstanceID   `json:"instance"`
	DataCenter tables.DataCenterID `json:"data_center"`
	// CallersAddress, OperatorsAddress and PeersAddress are the addresses, as IP
	// address and port, on which the instance listens for each of them.
	CallersAddress   string `json:"callers_address"`
	OperatorsAddress string `json:"operators_address"`
	PeersAddress     string `json:"peers_address"`
	// PlatformURL is the base URL of the platform's object API and its list of
	// instances. It is required unless Shared is set.
	PlatformURL string `json:"platform_url"`
	// RatersURL is the base URL of the rating service, empty for none.
	RatersURL string `json:"raters_url,omitempty"`
	// PeerKey authenticates messages between peers. If it is empty, it is read
	// from the platform's objects; an instance that must be able to start while
	// those cannot be read needs it here. With Shared it is derived from the
	// store's address instead.
	PeerKey []byte `json:"peer_key,omitempty"`
	// SeedPeers are addresses of peers to contact in addition to the platform's
	// list.
	SeedPeers []string `json:"seed_peers,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// BalancerLag is how long the balancer may still send new connections after
	// the instance became unready.
	BalancerLag tables.Millis `json:"balancer_lag_ms,omitempty"`
	// DrainTimeout is the timeout for requests in progress at a planned stop.
	DrainTimeout tables.Millis `json:"drain_ms,omitempty"`
	// FirstByteTimeout is the timeout from the start of a call to an upstream to
	// the first part of its answer, and ProgressTimeout the timeout between later
	// parts.
	FirstByteTimeout tables.Millis `json:"upstream_first_byte_ms,omitempty"`
	ProgressTimeout  tables.Millis `json:"upstream_progress_ms,omitempty"`
	// MaxBodyBytes is the maximum size of the body of a caller's request, in
	// bytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// SlowClientTimeout is the timeout for a caller to send the body of its
	// request and to take each part of its answer.
	SlowClientTimeout tables.Millis `json:"slow_client_ms,omitempty"`
	// SettleInterval is the mean interval between writes of bills to the store.
	SettleInterval tables.Millis `json:"settle_ms,omitempty"`
	// MaxWaitingBills is the maximum number of bills kept in memory while the
	// store does not answer. New requests are refused at the limit.
	MaxWaitingBills int `json:"max_waiting_bills,omitempty"`
	// RequestMemoryMB is what the heads and bodies of requests and the answers to them may
	// hold together, in MiB. Zero stands for a share of the memory limit of the Go
	// runtime, without which there is no bound.
	RequestMemoryMB int64 `json:"request_memory_mb,omitempty"`
	// MaxConnections is the maximum number of callers' connections. Zero stands for
	// what fits the limits on open descriptors and on memory.
	MaxConnections int `json:"max_connections,omitempty"`
	// Shared is set for an instance on a shared platform, nil otherwise.
	Shared *SharedPlatform `json:"shared_platform,omitempty"`
}

// Problems is the error for a settings file that is unreadable or invalid. Each
// element names the file, the field if it is known, and the problem.
type Problems []string

const (
	defaultBalancerLag     tables.Millis = 2000
	defaultDrain           tables.Millis = 60000
	defaultFirstByte       tables.Millis = 20000
	defaultProgress        tables.Millis = 10000
	defaultSlowClient      tables.Millis = 20000
	defaultSettle          tables.Millis = 5000
	defaultMaxBodyBytes                  = 4 << 20
	defaultMaxWaitingBills               = 200000
	minPeerKeyBytes                      = 16
	minMaxBodyBytes                      = 1 << 10
	maxDuration                          = time.Hour
)

// Load reads and validates a settings file. The error is of type Problems.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Problems{fmt.Sprintf("%s: cannot be read: %v", file, err)}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings and sets the defaults. The file is named
// in problems only. The error is of type Problems.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := tables.DecodeStrict(data, &s); err != nil {
		return Settings{}, Problems{fmt.Sprintf("%s: %s", file, describeDecodeError(err))}
	}
	s.setDefaults()
	if problems := s.check(file); len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	return strings.Join(p, "\n")
}

// Level returns LogLevel as a zap level, or info if it is unknown.
func (s Settings) Level() zapcore.Level {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zap.InfoLevel
	}
	return level
}

func (s *Settings) setDefaults() {
	setDefault(&s.LogLevel, "info")
	setDefault(&s.BalancerLag, defaultBalancerLag)
	setDefault(&s.DrainTimeout, defaultDrain)
	setDefault(&s.FirstByteTimeout, defaultFirstByte)
	setDefault(&s.ProgressTimeout, defaultProgress)
	setDefault(&s.SlowClientTimeout, defaultSlowClient)
	setDefault(&s.SettleInterval, defaultSettle)
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.MaxWaitingBills, defaultMaxWaitingBills)
	if s.Shared != nil {
		s.Shared.setDefaults()
	}
}

func (s *Settings) check(file string) Problems {
	var problems Problems
	add := func(field, format string, values ...any) {
		problems = append(problems, fmt.Sprintf("%s: %s: %s", file, field, fmt.Sprintf(format, values...)))
	}
	if s.Instance == "" {
		add("instance", "is missing; want the name of this instance")
	}
	if s.DataCenter == "" {
		add("data_center", "is missing; want the name of the data centre of this instance")
	}
	for _, a := range []struct{ field, value string }{
		{"callers_address", s.CallersAddress}, {"operators_address", s.OperatorsAddress}, {"peers_address", s.PeersAddress},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "%q is not an IP number and port, such as 127.0.0.1:8080", a.value)
		}
	}
	for _, seed := range s.SeedPeers {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add("seed_peers", "%q is not an IP number and port, such as 127.0.0.1:8080", seed)
		}
	}
	if len(s.PeerKey) > 0 && len(s.PeerKey) < minPeerKeyBytes {
		add("peer_key", "has %d bytes; want at least %d, in base64", len(s.PeerKey), minPeerKeyBytes)
	}
	if s.Shared != nil {
		s.Shared.check(add)
	}
	checkURL(add, "platform_url", s.PlatformURL, s.Shared == nil)
	checkURL(add, "raters_url", s.RatersURL, false)
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		add("log_level", "%q is unknown; want debug, info, warn or error", s.LogLevel)
	}
	for _, d := range []struct {
		field string
		value tables.Millis
	}{
		{"balancer_lag_ms", s.BalancerLag},
		{"drain_ms", s.DrainTimeout},
		{"upstream_first_byte_ms", s.FirstByteTimeout},
		{"upstream_progress_ms", s.ProgressTimeout},
		{"slow_client_ms", s.SlowClientTimeout},
		{"settle_ms", s.SettleInterval},
	} {
		if d.value < 0 || d.value.Duration() > maxDuration {
			add(d.field, "is %d; want 0 to %d milliseconds", d.value, maxDuration.Milliseconds())
		}
	}
	if s.MaxBodyBytes < minMaxBodyBytes {
		add("max_body_bytes", "is %d; want at least %d", s.MaxBodyBytes, minMaxBodyBytes)
	}
	if s.RequestMemoryMB < 0 {
		add("request_memory_mb", "is %d; want 0 or more", s.RequestMemoryMB)
	}
	if s.MaxConnections < 0 {
		add("max_connections", "is %d; want 0 or more", s.MaxConnections)
	}
	if s.MaxWaitingBills < 1 {
		add("max_waiting_bills", "is %d; want at least 1", s.MaxWaitingBills)
	}
	return problems
}

// checkURL adds a problem if the value is not an HTTP URL with a host. An empty
// value is a problem only if it is required.
func checkURL(add func(field, format string, values ...any), field, value string, required bool) {
	if value == "" && !required {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		add(field, "%q is not a base URL, such as http://127.0.0.1:7000", value)
	}
}

// describeDecodeError returns the message of a decoding error. The message for an
// unknown field points to the page that lists the fields.
func describeDecodeError(err error) string {
	message := trace.UserMessage(err)
	if name, ok := strings.CutPrefix(message, "json: unknown field "); ok {
		return strings.Trim(name, `"`) + ": unknown field; see docs/SETTINGS.md for the fields"
	}
	return message
}

// setDefault sets the field to the value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
