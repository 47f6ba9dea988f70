// Package rater is a stand-in for the service that rates answers. It rates a
// share of them, after a delay.
package rater

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"mimosayard/internal/standin/httpserver"
)

// Server is a stand-in for the rating service. Its exported fields must be set
// before the first request.
type Server struct {
	// RatedShare is the share of answers that get a rating, from 0 to 1.
	RatedShare float64
	// Delay is the time from receiving an answer to publishing its rating.
	Delay time.Duration

	mutex sync.Mutex
	// ratings holds all ratings in the order of their numbers, which start at
	// one, with those not yet published.
	ratings []rating
}

type answer struct {
	RequestID string `json:"request_id"`
	// Instance is the instance that sent the answer and polls for its rating.
	Instance string `json:"instance"`
	Text     string `json:"text"`
}

type rating struct {
	Number    int     `json:"number"`
	RequestID string  `json:"request_id"`
	Instance  string  `json:"instance"`
	Score     float64 `json:"score"`

	// availableAt is the time from which the rating is published.
	availableAt time.Time
}

type ratingsResponse struct {
	Ratings []rating `json:"ratings"`
	// Next is the value of "after" for the next poll.
	Next int `json:"next"`
}

// Handler returns the HTTP interface of the rating service.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/answers", s.postAnswers).Methods(http.MethodPost)
	router.HandleFunc("/v1/ratings", s.getRatings).Methods(http.MethodGet)
	return router
}

// getRatings answers with the published ratings of an instance whose number is
// higher than "after".
func (s *Server) getRatings(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	afterNumber, _ := strconv.Atoi(query.Get("after"))
	instance := query.Get("instance")
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := ratingsResponse{Ratings: []rating{}, Next: afterNumber}
	for _, r := range s.ratings[min(max(afterNumber, 0), len(s.ratings)):] {
		if r.availableAt.After(now) {
			break
		}
		response.Next = r.Number
		if r.Instance == instance {
			response.Ratings = append(response.Ratings, r)
		}
	}
	httpserver.WriteJSON(w, response)
}

// postAnswers rates answers that start with "right" with 1, all others with 0.
func (s *Server) postAnswers(w http.ResponseWriter, request *http.Request) {
	answers, ok := httpserver.Decode[[]answer](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range answers {
		if !s.isRated(a.RequestID) {
			continue
		}
		score := 0.0
		if strings.HasPrefix(a.Text, "right") {
			score = 1
		}
		s.ratings = append(s.ratings, rating{len(s.ratings) + 1, a.RequestID, a.Instance, score, time.Now().Add(s.Delay)})
	}
}

// isRated reports whether the answer to a request gets a rating. The hash of the
// ID decides, so that it is the same on each call.
func (s *Server) isRated(id string) bool {
	const buckets = 10000
	return float64(xxhash.Sum64String(id)%buckets) < s.RatedShare*buckets
}
