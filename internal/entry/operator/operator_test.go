package operator_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// fakeDependencies implements the interfaces of the dependencies of the API. The
// change id of a submission selects its verdict.
type fakeDependencies struct{}

func (fakeDependencies) Submit(_ context.Context, s document.Submission) (document.Outcome, error) {
	switch s.Change {
	case "conflict":
		return document.Outcome{Change: s.Change, Verdict: document.Conflicted, Revision: 9}, nil
	case "refuse":
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Reason: "layers: is missing"}, nil
	case "lost":
		return document.Outcome{Change: s.Change}, nil
	case "isolated":
		return document.Outcome{}, refusal.New(refusal.NotReady, "no leader can be reached")
	}
	return document.Outcome{Change: s.Change, Verdict: document.Accepted, Revision: s.Base + 1}, nil
}

func (fakeDependencies) Document(context.Context) (document.Document, error) {
	return document.Document{Revision: 3, Sections: []document.Section{
		{Team: "alpha", Revision: 2, Text: "# alpha\n"},
		{Team: "beta", Revision: 3, Text: "# secret of beta\n"},
	}}, nil
}

func (fakeDependencies) History(_ context.Context, team fleet.TeamID, limit int) ([]document.AuditEntry, error) {
	return []document.AuditEntry{{Team: team, Change: fleet.ChangeID(fmt.Sprint("limit ", limit))}}, nil
}

func (fakeDependencies) Find(_ context.Context, id string) (report.Record, bool) {
	teams := map[string]fleet.TeamID{"own": "alpha", "foreign": "beta"}
	return report.Record{ID: id, Team: teams[id], Entries: []report.Entry{}}, teams[id] != ""
}

func (fakeDependencies) OpenClaims(context.Context, fleet.AccountID, int) ([]ledger.OpenClaim, error) {
	return nil, nil
}

func (fakeDependencies) Settle(_ context.Context, s ledger.Settlement, _ upstream.Response) error {
	if s.Attempt != "attempt-1" {
		return refusal.New(refusal.Conflict, "the attempt holds no open claim")
	}
	return nil
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TestRequests guards against access to the data of another team, and against
// outcomes that are reported with the wrong HTTP status.
func TestRequests(t *testing.T) {
	api := operator.New(operator.Dependencies{
		Documents: fakeDependencies{},
		Finder:    fakeDependencies{},
		Orders:    fakeDependencies{},
		AccountTeam: func(a fleet.AccountID) (fleet.TeamID, bool) {
			teams := map[fleet.AccountID]fleet.TeamID{"parish": "alpha", "rival": "beta"}
			return teams[a], teams[a] != ""
		},
		Status: func() operator.Status { return operator.Status{Instance: "a", Revision: 3} },
		Tokens: map[string]fleet.TeamID{digest("token"): "alpha"},
		Clock:  fakeclock.New(fakeclock.Start),
		Log:    zap.NewNop(),
	}, operator.WithLimits(entry.Limits{MaxBodyBytes: 300}))
	datadriven.RunTest(t, "testdata/requests.txt", func(t *testing.T, d *datadriven.TestData) string {
		head, body, _ := strings.Cut(d.Input, "\n--\n")
		lines := strings.Split(head, "\n")
		lines[0] += " HTTP/1.1"
		if !strings.Contains(head, "Authorization:") {
			lines = append(lines, "Authorization: Bearer token")
		}
		lines = append(lines, "Host: test", fmt.Sprintf("Content-Length: %d", len(body)), "", body)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Join(lines, "\r\n"))))
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		api.Handler().ServeHTTP(w, request)
		return fmt.Sprintf("%d\n%s", w.Code, w.Body)
	})
}
