// Package engine is a stand-in for a model engine with continuous batching,
// prompt-prefix caching and priorities. It streams answers with the log
// probabilities of their tokens and reports its load.
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

	"mimosayard/internal/standin/httpserver"
)

// Server is a stand-in for an engine that serves one version of a model. Its
// exported fields must be set before the first request.
type Server struct {
	// Model and Version identify the served version of the model. They have no
	// effect on the answers.
	Model   string
	Version string
	// Quality is the probability that an answer to a request of difficulty
	// zero is correct. The probability falls as the difficulty rises.
	Quality float64
	// Slots is the maximum number of answers that are generated concurrently.
	Slots int
	// FirstTokenDelay is the time from getting a slot to the first token if the
	// prompt prefix isn't cached.
	FirstTokenDelay time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// Seed makes answers reproducible.
	Seed uint64
	// IgnoreFencing accepts orders with an outdated fencing token.
	IgnoreFencing bool

	mutex        sync.Mutex
	runningCount int
	waitingCount int
	// pendingTokens is the number of answer tokens of running and waiting
	// requests.
	pendingTokens int64
	// queue holds the waiting requests, those with the highest priority first.
	queue []*slotWaiter
	// cachedPrefixes holds the hashes of the cached prompt prefixes.
	cachedPrefixes map[uint64]bool
	faults         faultSettings
	// highestFencingTokens holds the highest fencing token seen for each subject.
	highestFencingTokens map[string]uint64
	orders               []order
	// attempts counts the requests received for each request ID.
	attempts map[string]int
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

// faultSettings are the faults that PUT /admin/faults injects. Each PUT replaces
// all of them.
type faultSettings struct {
	// Fail answers with status 500.
	Fail bool `json:"fail"`
	// Hang accepts requests and never answers.
	Hang bool `json:"silent"`
	// CutAfterTokens is the number of tokens after which a stream is closed
	// without its end marker. Zero means never.
	CutAfterTokens int `json:"cut_after"`
	// TokenBytes is the number of bytes added to each token of an answer.
	TokenBytes int `json:"token_bytes"`
	// WrongID returns a request ID other than that of the request.
	WrongID bool `json:"wrong_id"`
	// HangOrders ignores orders and never answers them.
	HangOrders bool `json:"silent_orders"`
	// Quality replaces Server.Quality if it is above zero.
	Quality float64 `json:"quality"`
}

type order struct {
	Subject      string `json:"subject"`
	Action       string `json:"action"`
	FencingToken uint64 `json:"fence"`
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	priority int
	// granted is closed when the request gets a slot.
	granted chan struct{}
}

const (
	headerRequestID       = "X-Request-Id"
	headerRunningRequests = "X-Load-Running"
	headerPendingTokens   = "X-Load-Waiting-Tokens"
	bytesPerToken         = 4
	// prefixBytes is the length of the prompt prefix that is cached.
	prefixBytes       = 256
	maxCachedPrefixes = 1024
)

// Handler returns the HTTP interface of the engine and the /admin routes.
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
	body, ok := httpserver.Decode[chatRequest](w, request)
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

// countAttempt counts a request and returns the faults that apply to it.
func (s *Server) countAttempt(id string) faultSettings {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	s.attempts[id]++
	return s.faults
}

// acquireSlot waits for a slot and reports whether the request got one. Waiting
// requests with a higher priority get theirs first; those of the same priority
// in the order of arrival. It returns false if the caller goes away.
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

// cancelWait removes a request from the queue after its caller went away.
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
	// The request is no longer queued: it got a slot just before its caller
	// went away.
	s.releaseSlot(tokens)
}

// releaseSlot passes the slot to the next waiting request, if there is one.
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
	httpserver.WriteJSON(w, append([]order{}, s.orders...))
}

func (s *Server) getAttempts(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	httpserver.WriteJSON(w, s.attempts)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.setLoadHeaders(w)
	w.WriteHeader(http.StatusNoContent)
}

// postOrder records an order. It answers with status 409 if the fencing token is
// lower than the highest one seen for the subject.
func (s *Server) postOrder(w http.ResponseWriter, request *http.Request) {
	body, ok := httpserver.Decode[order](w, request)
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
	if s.highestFencingTokens == nil {
		s.highestFencingTokens = map[string]uint64{}
	}
	if body.FencingToken < s.highestFencingTokens[body.Subject] && !s.IgnoreFencing {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.highestFencingTokens[body.Subject] = body.FencingToken
	s.orders = append(s.orders, body)
}

func (s *Server) putFaults(w http.ResponseWriter, request *http.Request) {
	faults, ok := httpserver.Decode[faultSettings](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// setLoadHeaders sets the headers that report the number of requests and the
// answer tokens of both running and waiting requests.
func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set(headerRunningRequests, strconv.Itoa(s.runningCount+s.waitingCount))
	w.Header().Set(headerPendingTokens, strconv.FormatInt(s.pendingTokens, 10))
}

// lookUpPrefix reports whether the prefix of a prompt is cached, and caches it.
// It clears the cache when it is full. Prompts shorter than prefixBytes are
// never cached.
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

// generatedAnswer is an answer with the confidence that the engine reports.
type generatedAnswer struct {
	tokens []string
	// confidence is the probability reported for each token.
	confidence float64
	correct    bool
}

// generate returns the answer to a prompt. It depends only on the prompt, the
// seed, the quality and maxTokens. Zero for maxTokens means no limit.
func (s *Server) generate(prompt string, maxTokens int, faults faultSettings) generatedAnswer {
	seed := xxhash.Sum64String(prompt)
	random := rand.New(rand.NewPCG(seed, s.Seed))
	// The difficulty doesn't depend on the engine's seed, so a prompt is equally
	// hard for all engines.
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

// stream sends an answer token by token, then its token usage and the end
// marker. A cached prefix cuts the delay of the first token to a third.
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
		writeChunk(w, request.Header.Get(headerRequestID), body.Model, token+strings.Repeat(".", faults.TokenBytes), math.Log(generated.confidence))
	}
	promptTokens := len(promptText(body)) / bytesPerToken
	cachedTokens := 0
	if cached {
		cachedTokens = promptTokens
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		promptTokens, len(generated.tokens), cachedTokens)
}

// promptText returns the concatenated contents of all messages.
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
