package adminapi

import (
	"encoding/base64"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Default and maximum number of items on a page, for the query parameter "limit".
const (
	defaultPageLimit = 100
	maximumPageLimit = 1000
)

// Page is a part of a list. Lists are in order of name, and a page continues after the last name of the
// previous page, even if objects were added or removed in between.
type Page[Item any] struct {
	Items []Item `json:"items"`
	// NextCursor is the query parameter "cursor" of the next page. It is missing on the last page.
	NextCursor string `json:"next_cursor,omitempty"`
	// Revision is the revision of the configuration that the list was read from.
	Revision model.Revision `json:"revision"`
}

// pageOf returns the page of rows that the request asks for. The rows must be in order of name, and
// name and show return a row's name and its form in the API.
func pageOf[Row, Item any](request *http.Request, revision model.Revision, rows []Row, name func(Row) string, show func(Row) Item) (Page[Item], error) {
	limit, err := pageLimit(request)
	if err != nil {
		return Page[Item]{}, err
	}
	after, err := pageCursor(request)
	if err != nil {
		return Page[Item]{}, err
	}
	start, found := slices.BinarySearchFunc(rows, after, func(row Row, wanted string) int { return strings.Compare(name(row), wanted) })
	if found {
		start++
	}
	page := Page[Item]{Items: []Item{}, Revision: revision}
	rest := rows[start:]
	if len(rest) > limit {
		rest = rest[:limit]
		page.NextCursor = base64.RawURLEncoding.EncodeToString([]byte(name(rest[limit-1])))
	}
	for _, row := range rest {
		page.Items = append(page.Items, show(row))
	}
	return page, nil
}

func pageLimit(request *http.Request) (int, error) {
	text := request.URL.Query().Get("limit")
	if text == "" {
		return defaultPageLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maximumPageLimit {
		return 0, fieldRefusal(faults.CodeMalformedRequest, "limit", "must be a number from 1 to %d", maximumPageLimit)
	}
	return limit, nil
}

// pageCursor returns the name after which the page starts, or an empty string for the first page.
func pageCursor(request *http.Request) (string, error) {
	decoded, err := base64.RawURLEncoding.DecodeString(request.URL.Query().Get("cursor"))
	if err != nil {
		return "", fieldRefusal(faults.CodeMalformedRequest, "cursor", "is not a valid cursor")
	}
	return string(decoded), nil
}
