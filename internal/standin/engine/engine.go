// Package engine is a small stand-in for a model engine that batches
// continuously, caches prompt prefixes, honours priorities, streams answers
// with token probabilities, and reports its load.
package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"mimosayard/internal/standin/admin"
)

// A Server is the stand-in. Its exported fields are set before use.
type Server struct {
	Model   string
	Version string
	// Quality is the probability that an answer to a request of difficulty
	// zero is right. Harder requests are answered worse.
	Quality float64
	// Slots is the number of answers generated at once.
	Slots int
	// FirstToken is the time to the first token of an idle engine, and
	// BetweenTokens the time between two tokens.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// Seed makes answers repeatable.
	Seed uint64
	// IgnoreFencing takes orders whatever their fencing number.
	IgnoreFencing bool

	mutex          sync.Mutex
	runningCount   int
	waitingCount   int
	pendingTokens  int64
	queue          []*slotWaiter
	cachedPrefixes map[uint64]bool
	faults         faultSettings
	highestFences  map[string]uint64
	orders         []order
	attempts       map[string]int
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// faultSettings are the failures that are switched on.
type faultSettings struct {
	// Fail answers with status 500.
	Fail bool `json:"fail"`
	// Silent takes requests and never answers.
	Hang bool `json:"silent"`
	// CutAfter ends a stream without its end mark after so many tokens.
	CutAfterTokens int `json:"cut_after"`
	// WrongID echoes another request's ID.
	WrongID bool `json:"wrong_id"`
	// SilentOrders takes no orders and never answers them.
	HangOrders bool `json:"silent_orders"`
	// Quality replaces the quality if it is over zero.
	Quality float64 `json:"quality"`
}

type order struct {
	Subject string `json:"subject"`
	Action  string `json:"action"`
	Fence   uint64 `json:"fence"`
}

type slotWaiter struct {
	priority int
	granted  chan struct{}
}

const (
	headerRequestID       = "X-Request-Id"
	headerRunningRequests = "X-Load-Running"
	headerPendingTokens   = "X-Load-Waiting-Tokens"
	bytesPerToken         = 4
	prefixBytes           = 256
	maxCachedPrefixes     = 1024
)

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	router.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/admin/orders", s.getOrders).Methods(http.MethodGet)
	router.HandleFunc("/admin/served", s.getAttempts).Methods(http.MethodGet)
	return router
}

func (s *Server) chat(w http.ResponseWriter, request *http.Request) {
	body, ok := admin.Decode[chatRequest](w, request)
	if !ok {
		return
	}
	id := request.Header.Get(headerRequestID)
	faults := s.countAttempt(id)
	if faults.Fail {
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	if faults.Hang {
		<-request.Context().Done()
		return
	}
	prompt := promptText(body)
	generated := s.generate(prompt, body.MaxTokens, faults)
	if !s.acquireSlot(request, len(generated.tokens)) {
		return
	}
	defer s.releaseSlot(len(generated.tokens))
	s.setLoadHeaders(w)
	if faults.WrongID {
		id += "-other"
	}
	w.Header().Set(headerRequestID, id)
	cached := s.lookUpPrefix(prompt)
	s.stream(w, request, body, generated, cached, faults)
}

func (s *Server) countAttempt(id string) faultSettings {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	s.attempts[id]++
	return s.faults
}

// enter waits for a slot, those of higher priority first.
func (s *Server) acquireSlot(request *http.Request, tokens int) bool {
	priority, _ := strconv.Atoi(request.Header.Get("X-Priority"))
	s.mutex.Lock()
	s.pendingTokens += int64(tokens)
	if s.runningCount < s.Slots {
		s.runningCount++
		s.mutex.Unlock()
		return true
	}
	waiter := &slotWaiter{priority: priority, granted: make(chan struct{})}
	position := 0
	for position < len(s.queue) && s.queue[position].priority >= priority {
		position++
	}
	s.queue = append(s.queue[:position], append([]*slotWaiter{waiter}, s.queue[position:]...)...)
	s.waitingCount++
	s.mutex.Unlock()
	select {
	case <-waiter.granted:
		return true
	case <-request.Context().Done():
		s.cancelWait(waiter, tokens)
		return false
	}
}

func (s *Server) cancelWait(waiter *slotWaiter, tokens int) {
	s.mutex.Lock()
	for i, w := range s.queue {
		if w == waiter {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.waitingCount--
			s.pendingTokens -= int64(tokens)
			s.mutex.Unlock()
			return
		}
	}
	s.mutex.Unlock()
	// The slot was given just before the caller went away.
	s.releaseSlot(tokens)
}

func (s *Server) releaseSlot(tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pendingTokens -= int64(tokens)
	if len(s.queue) == 0 {
		s.runningCount--
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	s.waitingCount--
	close(next.granted)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	admin.WriteJSON(w, append([]order{}, s.orders...))
}

func (s *Server) getAttempts(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	admin.WriteJSON(w, s.attempts)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.setLoadHeaders(w)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postOrder(w http.ResponseWriter, request *http.Request) {
	body, ok := admin.Decode[order](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	hang := s.faults.HangOrders
	s.mutex.Unlock()
	if hang {
		<-request.Context().Done()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.highestFences == nil {
		s.highestFences = map[string]uint64{}
	}
	if body.Fence < s.highestFences[body.Subject] && !s.IgnoreFencing {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.highestFences[body.Subject] = body.Fence
	s.orders = append(s.orders, body)
}

func (s *Server) putFaults(w http.ResponseWriter, request *http.Request) {
	faults, ok := admin.Decode[faultSettings](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set(headerRunningRequests, strconv.Itoa(s.runningCount+s.waitingCount))
	w.Header().Set(headerPendingTokens, strconv.FormatInt(s.pendingTokens, 10))
}

func (s *Server) lookUpPrefix(prompt string) bool {
	if len(prompt) < prefixBytes {
		return false
	}
	hash := xxhash.Sum64String(prompt[:prefixBytes])
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cachedPrefixes == nil || len(s.cachedPrefixes) >= maxCachedPrefixes {
		s.cachedPrefixes = map[uint64]bool{}
	}
	cached := s.cachedPrefixes[hash]
	s.cachedPrefixes[hash] = true
	return cached
}

// answerText is an answer with how sure the engine is of it.
type generatedAnswer struct {
	tokens     []string
	confidence float64
	correct    bool
}

// answer makes the answer to a prompt. The same prompt gets the same one.
func (s *Server) generate(prompt string, maxTokens int, faults faultSettings) generatedAnswer {
	seed := xxhash.Sum64String(prompt)
	random := rand.New(rand.NewPCG(seed, s.Seed))
	// The difficulty belongs to the prompt, not to the engine.
	difficulty := rand.New(rand.NewPCG(seed, 1)).Float64()
	quality := s.Quality
	if faults.Quality > 0 {
		quality = faults.Quality
	}
	correctProbability := quality - difficulty*(1-quality)*1.5
	correct := random.Float64() < correctProbability
	confidence := min(0.99, max(0.01, correctProbability+0.15*random.NormFloat64()))
	count := 8 + random.IntN(40)
	if maxTokens > 0 {
		count = min(count, maxTokens)
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = "word" + strconv.Itoa(i) + " "
	}
	tokens[0] = "right "
	if !correct {
		tokens[0] = "wrong "
	}
	return generatedAnswer{tokens, confidence, correct}
}

func (s *Server) stream(w http.ResponseWriter, request *http.Request, body chatRequest, generated generatedAnswer, cached bool, faults faultSettings) {
	w.Header().Set("Content-Type", "text/event-stream")
	delay := s.FirstTokenDelay
	if cached {
		delay /= 3
	}
	for i, token := range generated.tokens {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(delay):
		}
		delay = s.TokenInterval
		if faults.CutAfterTokens > 0 && i >= faults.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		writeChunk(w, request.Header.Get(headerRequestID), body.Model, token, math.Log(generated.confidence))
	}
	promptTokens := len(promptText(body)) / bytesPerToken
	cachedTokens := 0
	if cached {
		cachedTokens = promptTokens
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		promptTokens, len(generated.tokens), cachedTokens)
}

func promptText(body chatRequest) string {
	var prompt strings.Builder
	for _, m := range body.Messages {
		prompt.WriteString(m.Content)
	}
	return prompt.String()
}

func writeChunk(w http.ResponseWriter, id, model, token string, logprob float64) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"logprobs\":{\"content\":[{\"token\":%q,\"logprob\":%.5f}]}}]}\n\n",
		id, model, token, token, logprob)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
