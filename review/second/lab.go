package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab holds the processes and the record of a case.
type lab struct {
	ctx     context.Context
	temp    string
	started time.Time

	mutex    sync.Mutex
	record   *os.File
	children []*exec.Cmd
	// store is the address of the store, version the version of the latest configuration.
	store   string
	version int
	// seeds are the peer addresses of the first instances.
	seeds []string
}

// instance is a process of the system.
type instance struct {
	command        *exec.Cmd
	callers, ready string
}

// upstreamEntry is the entry of a server in the store.
type upstreamEntry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMs   int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// routeEntry is a route of the configuration.
type routeEntry struct {
	Name        string   `json:"name"`
	Hostname    string   `json:"hostname"`
	PathPrefix  string   `json:"path_prefix"`
	Kind        string   `json:"kind"`
	TimeoutMs   int      `json:"timeout_ms"`
	TargetMs    int      `json:"target_latency_ms"`
	Priority    int      `json:"priority"`
	MaxAttempts int      `json:"max_attempts"`
	Service     string   `json:"service"`
	Public      bool     `json:"public"`
	Sticky      bool     `json:"sticky"`
	Resumable   bool     `json:"resumable,omitempty"`
	GapAimMs    int      `json:"gap_aim_ms,omitempty"`
	Sizes       []string `json:"sizes,omitempty"`
}

const (
	// host is the host of all routes, key the only API key.
	host = "raft.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// readyTimeout bounds the start of a process.
	readyTimeout = 10 * time.Second
	// contactTime is longer than the contact_ms of any site in force, 4,000.
	contactTime = 5 * time.Second
)

// newLab starts a store in a temporary folder.
func newLab(ctx context.Context, record string) (*lab, error) {
	file, err := os.Create(record) //nolint:gosec // The record stands in the folder that the caller names.
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{ctx: ctx, temp: temp, started: time.Now(), record: file}
	if l.store, err = freeAddress(ctx); err != nil {
		return nil, err
	}
	if _, err = l.start("store", nil, "target/standins", "store", "-address", l.store); err != nil {
		return nil, err
	}
	return l, l.await(func() bool { return l.status("http://"+l.store+"/objects/config") == http.StatusOK })
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f  "+format+"\n", append([]any{time.Since(l.started).Seconds()}, values...)...)
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, command := range l.children {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	_ = os.RemoveAll(l.temp) //nolint:gosec // It is the temporary folder of newLab.
	_ = l.record.Close()
}

// start starts a program, whose output goes to a file in the temporary folder.
func (l *lab) start(name string, environment []string, program string, arguments ...string) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(l.temp, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600) //nolint:gosec // It is in the temporary folder.
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	command := exec.CommandContext(l.ctx, program, arguments...) //nolint:gosec // The cases start the project's own programs only.
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), environment...)
	if err := command.Start(); err != nil {
		return nil, err
	}
	l.children = append(l.children, command)
	return command, nil
}

// startInstance starts an instance with the command of the deploy file and the settings that
// its template gives for a small deployment.
func (l *lab) startInstance(name, zone string) (*instance, error) {
	var addresses [4]string
	for n := range addresses {
		address, err := freeAddress(l.ctx)
		if err != nil {
			return nil, err
		}
		addresses[n] = address
	}
	if len(l.seeds) < 3 {
		l.seeds = append(l.seeds, addresses[3])
	}
	settings := map[string]any{
		"instance": name, "data_center": zone, "callers_address": addresses[0], "operators_address": addresses[2],
		"peers_address": addresses[3], "seed_peers": l.seeds, "log_level": "info",
		"shared_platform": map[string]any{
			"store_address": l.store, "ready_address": addresses[1], "memory_mb": 284, "grace_s": 8, "upstream_drain_ms": 2000,
			"session_s": 5, "retry_ratio": 0.9, "retry_slack": 58, "retry_window_s": 10, "exposure_share": 0.15, "exposure_slack": 30,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.temp, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	i := &instance{callers: addresses[0], ready: addresses[1]}
	if i.command, err = l.start(name, []string{"MIMOSAYARD_BOOT=" + file}, "target/mimosayard", "serve"); err != nil {
		return nil, err
	}
	return i, l.await(func() bool { return l.status("http://"+i.ready+"/readyz") == http.StatusOK })
}

// awaitContact waits until the instances count as in touch, which they are contactTime after their
// start.
func (l *lab) awaitContact() {
	time.Sleep(contactTime)
	l.note("the instances have run for %v", contactTime)
}

// errNothingShown is returned for a case that could not show anything.
var errNothingShown = errors.New("the traffic of the case was not served, or nothing was disrupted")

// startInstances starts three instances, one in each zone.
func (l *lab) startInstances() ([]*instance, error) {
	var instances []*instance
	for n, zone := range zones {
		i, err := l.startInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone)
		if err != nil {
			return nil, err
		}
		instances = append(instances, i)
	}
	return instances, nil
}

var zones = []string{"krasts", "kisezers", "jugla"}

// putConfig writes the next version of the configuration.
func (l *lab) putConfig(services []string, routes ...routeEntry) error {
	l.version += 3
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"health_path"`
		MaxConnections int    `json:"max_connections"`
	}
	var named []service
	for _, name := range services {
		named = append(named, service{name, "/healthz", 110})
	}
	return l.put("config", "main", map[string]any{
		"version": l.version, "routes": routes, "services": named,
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
}

// put writes the spec of an object.
func (l *lab) put(kind, name string, spec any) error {
	data, err := json.Marshal(map[string]any{"metadata": map[string]any{}, "spec": spec})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(l.ctx, http.MethodPut, "http://"+l.store+"/objects/"+kind+"/"+name, bytes.NewReader(data)) //nolint:gosec // The store is a stand-in on a loopback address.
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // The store is a stand-in on a loopback address.
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %s", response.Status)
	}
	l.note("the store acknowledged %s/%s: %s", kind, name, data)
	return nil
}

// status returns the status of a GET, zero if there is no answer.
func (l *lab) status(url string) int {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// await waits until the condition holds.
func (l *lab) await(condition func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("a process did not become ready")
}

// freeAddress returns a loopback address with a free port.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
