// Package rater is a small stand-in for the service that rates answers. It
// rates a part of them, and late.
package rater

import (
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
	// Share is the part of answers that get a rating.
	RatedShare float64
	// Delay is the time from an answer to its rating.
	Delay time.Duration

	mutex   sync.Mutex
	ratings []rating
}

type answer struct {
	RequestID string `json:"request_id"`
	// Instance is who asks for the rating.
	Instance string `json:"instance"`
	Text     string `json:"text"`
}

type rating struct {
	Number    int     `json:"number"`
	RequestID string  `json:"request_id"`
	Instance  string  `json:"instance"`
	Score     float64 `json:"score"`

	availableAt time.Time
}

type ratingsResponse struct {
	Ratings []rating `json:"ratings"`
	// Next is the number to ask for after these.
	Next int `json:"next"`
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/answers", s.postAnswers).Methods(http.MethodPost)
	router.HandleFunc("/v1/ratings", s.getRatings).Methods(http.MethodGet)
	return router
}

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
	admin.WriteJSON(w, response)
}

func (s *Server) postAnswers(w http.ResponseWriter, request *http.Request) {
	answers, ok := admin.Decode[[]answer](w, request)
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

func (s *Server) isRated(id string) bool {
	const buckets = 10000
	return float64(xxhash.Sum64String(id)%buckets) < s.RatedShare*buckets
}
