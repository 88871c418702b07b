package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Orders gives access to orders whose outcome is unknown.
type Orders interface {
	// OpenClaims returns up to limit claims of an account that have no response,
	// oldest first.
	OpenClaims(ctx context.Context, a fleet.AccountID, limit int) ([]ledger.OpenClaim, error)
	// Settle closes a claim with the outcome that an operator states.
	Settle(ctx context.Context, s ledger.Settlement, response upstream.Response) error
}

// Settlement is the body of POST /v1/settlements.
type Settlement struct {
	Account  fleet.AccountID `json:"account"`
	Key      string          `json:"key"`
	Attempt  order.AttemptID `json:"attempt"`
	Operator string          `json:"operator"`
	Note     string          `json:"note"`
	// Ran reports whether the order ran. If it did, Status, ContentType and Body
	// form the response that callers get from then on.
	Ran         bool   `json:"ran"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        string `json:"body,omitempty"`
}

const maxOpenClaims = 100

func (a *API) openOrders(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	account := fleet.AccountID(r.URL.Query().Get("account"))
	if err := a.checkAccount(team, account); err != nil {
		return err
	}
	claims, err := a.deps.Orders.OpenClaims(r.Context(), account, maxOpenClaims)
	if err != nil {
		return err
	}
	if claims == nil {
		claims = []ledger.OpenClaim{}
	}
	writeJSON(w, http.StatusOK, claims)
	return nil
}

// checkAccount returns an error if the account does not belong to the team. The
// error is the same as for an account that does not exist.
func (a *API) checkAccount(team fleet.TeamID, account fleet.AccountID) error {
	if owner, known := a.deps.AccountTeam(account); !known || owner != team {
		return refusal.New(refusal.NotFound, "account %q does not exist", account)
	}
	return nil
}

func (a *API) settle(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	raw, err := a.readBody(w, r)
	if err != nil {
		return err
	}
	var s Settlement
	if err := json.Unmarshal(raw, &s); err != nil {
		return refusal.WithCause(refusal.BadRequest, err, "the body is not a valid JSON object: %v", err)
	}
	if err := a.checkAccount(team, s.Account); err != nil {
		return err
	}
	if s.Ran && (s.Status < http.StatusOK || s.Status > 599) {
		return refusal.New(refusal.BadRequest, "status: %d is not a final HTTP status", s.Status)
	}
	err = a.deps.Orders.Settle(r.Context(), ledger.Settlement{
		Key:      order.Key{Account: s.Account, Name: s.Key},
		Attempt:  s.Attempt,
		Operator: s.Operator,
		Note:     s.Note,
		Ran:      s.Ran,
	}, s.response())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s)
	return nil
}

func (s Settlement) response() upstream.Response {
	header := make(http.Header)
	if s.ContentType != "" {
		header.Set("Content-Type", s.ContentType)
	}
	return upstream.Response{Status: s.Status, Header: header, Body: []byte(s.Body)}
}
