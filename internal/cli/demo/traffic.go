package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/net/http1"
)

// caller is a simulated client that sends one request at a time.
type caller struct {
	runner *runner
	team   tables.TeamID
	name   string
	random *rand.Rand
	// sessionToken is the token from the last chat response. It is empty if
	// there is no session.
	sessionToken string
	// turn is the number of requests sent.
	turn int
}

// teamResults collects the outcomes and latencies of a team's requests.
type teamResults struct {
	served int64
	// refusals counts the requests that weren't served, by error type.
	refusals        map[string]int64
	firstByteMicros *hdrhistogram.Histogram
	totalMicros     *hdrhistogram.Histogram
	// newVersionAnswers counts the answers from the version being rolled out.
	newVersionAnswers int64
	wrongAnswers      int64
}

// results collects the results of all callers. It is safe for concurrent use.
type results struct {
	mutex sync.Mutex
	teams map[tables.TeamID]*teamResults
}

const (
	callersPerTeam    = 20
	meanThinkTime     = 60 * time.Millisecond
	longPromptBytes   = 6000
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// sendTraffic sends requests of all teams, degrades the new version partway, and
// prints the report.
func (r *runner) sendTraffic() error {
	collected := &results{teams: map[tables.TeamID]*teamResults{}}
	end := time.Now().Add(r.options.TrafficDuration)
	degradeAt := time.Now().Add(time.Duration(degradeAtShare * float64(r.options.TrafficDuration)))
	var callers errgroup.Group
	for t, team := range r.teams() {
		collected.teams[team] = newTeamResults()
		for n := range callersPerTeam {
			c := &caller{
				runner: r,
				team:   team,
				name:   fmt.Sprintf("%s-%d", team, n),
				random: rand.New(rand.NewPCG(uint64(t), uint64(n))),
			}
			callers.Go(func() error {
				for time.Now().Before(end) {
					c.sendRequest(collected)
				}
				return nil
			})
		}
	}
	callers.Go(func() error {
		time.Sleep(time.Until(degradeAt))
		return r.degradeNewVersion()
	})
	if err := callers.Wait(); err != nil {
		return trace.Wrap(err)
	}
	return r.report(collected)
}

// degradeNewVersion lowers the answer quality of the new version's engines.
func (r *runner) degradeNewVersion() error {
	for _, pool := range r.pools.Pools {
		if pool.Name != rolloutPool {
			continue
		}
		for _, upstream := range pool.Upstreams {
			if err := r.put("http://"+upstream.Address+"/admin/faults", degradedQualityFaults); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) put(url, body string) error {
	return put(r.ctx, r.client, url, body)
}

// put sends a PUT request to a stand-in. It returns an error if the status is
// 300 or higher.
func put(ctx context.Context, client *http.Client, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered %s", url, response.Status)
	}
	return nil
}

// status returns the status that an instance reports to operators.
func (r *runner) status(n int) (service.Status, error) {
	var status service.Status
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, fmt.Sprintf("http://127.11.0.%d:8081/status", 11+n), nil)
	if err != nil {
		return status, trace.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return status, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return status, trace.Wrap(http1.DecodeJSON(response, &status))
}

// teams returns the teams of the routes table, each once.
func (r *runner) teams() []tables.TeamID {
	var teams []tables.TeamID
	seen := map[tables.TeamID]bool{}
	for _, route := range r.routes.Routes {
		if !seen[route.Team] {
			seen[route.Team] = true
			teams = append(teams, route.Team)
		}
	}
	return teams
}

// sendRequest sends one request on a random route of the team and pauses for the
// think time.
func (c *caller) sendRequest(collected *results) {
	c.turn++
	routes := c.routes()
	route := routes[c.random.IntN(len(routes))]
	if route.QualityTarget > 0 {
		c.sendChat(collected, route)
	} else {
		c.callService(collected, route)
	}
	time.Sleep(meanThinkTime/2 + rand.N(meanThinkTime))
}

// routes returns the routes of the caller's team.
func (c *caller) routes() []tables.Route {
	var teamRoutes []tables.Route
	for _, route := range c.runner.routes.Routes {
		if route.Team == c.team {
			teamRoutes = append(teamRoutes, route)
		}
	}
	return teamRoutes
}

// callService sends a request to a plain service.
func (c *caller) callService(collected *results, route tables.Route) {
	method, path := http.MethodGet, "/reservations"
	if len(route.Methods) > 0 {
		method = route.Methods[0]
	}
	if len(route.Paths) > 0 {
		path = route.Paths[0]
	}
	body := ""
	if method == http.MethodPost {
		body = fmt.Sprintf(`{"by":%q,"turn":%d}`, c.name, c.turn)
	}
	header := http.Header{"Idempotency-Key": {fmt.Sprintf("%s-%d", c.name, c.turn)}}
	c.send(collected, method, "/services/"+string(route.Service)+path, body, header)
}

// sendChat sends a chat request. Requests of the class "chat" belong to a
// session, which is replaced by a new one from time to time.
func (c *caller) sendChat(collected *results, route tables.Route) {
	prompt := fmt.Sprintf("%s asks in turn %d", c.name, c.turn)
	if route.Class == "schedules" {
		prompt += strings.Repeat(" rental history", longPromptBytes/len(" rental history"))
	}
	header := http.Header{"X-Mimosayard-Class": {string(route.Class)}, "X-Mimosayard-Caller": {c.name}}
	if route.Class == "chat" {
		const turnsPerSession = 6
		if c.sessionToken == "" || c.turn%turnsPerSession == 0 {
			c.sessionToken = "new"
		}
		header.Set("X-Mimosayard-Session", c.sessionToken)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, route.Service, prompt)
	answer := c.send(collected, http.MethodPost, "/v1/chat/completions", body, header)
	if route.Class == "chat" {
		c.sessionToken = answer.Get("X-Mimosayard-Session")
	}
}

// send sends a request to a random instance and records its result. It returns
// the headers of the response, or nil if there is none.
func (c *caller) send(collected *results, method, path, body string, header http.Header) http.Header {
	url := c.runner.callersURL(c.random.IntN(instanceCount)) + path
	request, err := http.NewRequestWithContext(c.runner.ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer demo-"+string(c.team))
	start := time.Now()
	response, err := c.runner.client.Do(request)
	if err != nil {
		collected.update(c.team, func(t *teamResults) { t.refusals["connection"]++ })
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	text, firstByte := readAnswer(response.Body, start)
	total := time.Since(start)
	collected.update(c.team, func(t *teamResults) { t.record(response, text, firstByte, total) })
	return response.Header
}

// readAnswer returns a body and the time from start to its first byte. The body
// is nil if it cannot be read to its end, or is larger than http1.MaxBodyBytes.
func readAnswer(body io.ReadCloser, start time.Time) ([]byte, time.Duration) {
	reader := bufio.NewReader(http.MaxBytesReader(nil, body, http1.MaxBodyBytes))
	_, _ = reader.Peek(1)
	firstByte := time.Since(start)
	text, err := io.ReadAll(reader)
	if err != nil {
		return nil, firstByte
	}
	return text, firstByte
}

func newTeamResults() *teamResults {
	return &teamResults{
		refusals:        map[string]int64{},
		firstByteMicros: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		totalMicros:     hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (r *results) update(team tables.TeamID, change func(*teamResults)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r.teams[team])
}

// record counts a response by its outcome. A stream without its end marker
// counts as refused. Latencies are recorded for served requests only.
func (t *teamResults) record(response *http.Response, text []byte, firstByte, total time.Duration) {
	if response.StatusCode != http.StatusOK {
		var body struct {
			Error struct {
				Type string `json:"type"`
			} `json:"error"`
		}
		_ = json.Unmarshal(text, &body)
		t.refusals[body.Error.Type]++
		return
	}
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if stream && !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		t.refusals["cut stream"]++
		return
	}
	t.served++
	if bytes.Contains(text, []byte(`"model":"valodas-mazais@v2"`)) {
		t.newVersionAnswers++
	}
	if bytes.Contains(text, []byte(`"content":"wrong "`)) {
		t.wrongAnswers++
	}
	_ = t.firstByteMicros.RecordValue(firstByte.Microseconds())
	_ = t.totalMicros.RecordValue(total.Microseconds())
}
