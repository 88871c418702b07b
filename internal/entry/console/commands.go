package console

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"section in INI format"`
}

func readSection(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", exitErrorf(ExitUsage, "%v", err)
	}
	return string(raw), nil
}

func (o *options) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type submitCommand struct {
	*options `no-flag:"true"`
	Team     string       `long:"team" required:"true" description:"owner of the section"`
	Base     uint64       `long:"base" description:"revision of the section that was edited; 0 for a new section"`
	Change   string       `long:"change" description:"id of the change; submit with the same id again to query the outcome"`
	Operator string       `long:"operator" env:"USER" description:"name in the audit trail"`
	Args     fileArgument `positional-args:"true" required:"true"`
}

type submitBody struct {
	Change   string `json:"change"`
	Team     string `json:"team"`
	Operator string `json:"operator"`
	Base     uint64 `json:"base"`
	Text     string `json:"text"`
}

// Execute submits the section. The exit status corresponds to the verdict.
func (c *submitCommand) Execute([]string) error {
	text, err := readSection(c.Args.File)
	if err != nil {
		return err
	}
	if c.Change == "" {
		c.Change = "change-" + rand.Text()
	}
	var outcome document.Outcome
	err = c.call(http.MethodPost, "/v1/submissions", submitBody{
		Change: c.Change, Team: c.Team, Operator: c.Operator, Base: c.Base, Text: text,
	}, &outcome, http.StatusConflict, http.StatusUnprocessableEntity, http.StatusGatewayTimeout)
	if exitErr, ok := err.(*exitError); ok && exitErr.code == ExitUnreachable {
		return exitErrorf(ExitUnknown, "unknown: %s; ask again with --change %s", exitErr.message, c.Change)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		if err := c.printJSON(outcome); err != nil {
			return err
		}
	}
	return c.reportOutcome(outcome)
}

// reportOutcome prints an accepted outcome and returns an error for any other.
func (c *submitCommand) reportOutcome(o document.Outcome) error {
	switch o.Verdict {
	case document.Accepted:
		if !c.JSON {
			fmt.Fprintf(c.out, "accepted: change %s made revision %d\n", o.Change, o.Revision)
		}
		return nil
	case document.Conflicted:
		return exitErrorf(ExitConflict, "conflict: the section is at revision %d, not %d", o.Revision, c.Base)
	case document.Refused, document.Reused:
		return exitErrorf(ExitRefused, "%s: %s", o.Verdict, o.Reason)
	}
	return exitErrorf(ExitUnknown, "unknown: ask again with --change %s", c.Change)
}

type showCommand struct {
	*options `no-flag:"true"`
}

// Execute prints the accepted section.
func (c *showCommand) Execute([]string) error {
	var s document.Section
	if err := c.call(http.MethodGet, "/v1/section", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.out, "# team %s, revision %d\n%s", s.Team, s.Revision, s.Text)
	return nil
}

type diffCommand struct {
	*options `no-flag:"true"`
	Args     fileArgument `positional-args:"true" required:"true"`
}

// Execute prints the lines that differ between the accepted section and the file.
func (c *diffCommand) Execute([]string) error {
	text, err := readSection(c.Args.File)
	if err != nil {
		return err
	}
	var s document.Section
	if err := c.call(http.MethodGet, "/v1/section", nil, &s); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "# against revision %d\n%s", s.Revision, section.Diff(s.Text, text))
	return nil
}

type historyCommand struct {
	*options `no-flag:"true"`
	Limit    int `long:"limit" default:"20" description:"number of entries"`
}

// Execute prints the newest audit entries.
func (c *historyCommand) Execute([]string) error {
	var entries []document.AuditEntry
	if err := c.call(http.MethodGet, "/v1/history?limit="+strconv.Itoa(c.Limit), nil, &entries); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(entries)
	}
	for _, e := range entries {
		fmt.Fprintf(c.out, "%s %s by %s: %s, base %d, revision %d %s\n", e.At.Format(time.RFC3339),
			e.Change, e.Operator, e.Outcome.Verdict, e.Base, e.Outcome.Revision, e.Outcome.Reason)
		fmt.Fprint(c.out, e.Difference)
	}
	return nil
}

type statusCommand struct {
	*options `no-flag:"true"`
}

// Execute prints the state of the fleet.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	if err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.out, "revision %d in force on %s, confirmed %.1f s ago\n", s.Revision, s.Instance, float64(s.ConfirmationAge))
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATUS\tVOTER\tREVISION\tSINCE")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\n", i.ID, i.DataCentre, i.Status, i.Voter, i.Revision, i.Since.Format(time.RFC3339))
	}
	fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tCOMMIT\tAPPLIED\tVOTERS")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", g.Group, g.Leader, g.Term, g.Commit, g.Applied, voterNames(g.Voters))
	}
	fmt.Fprintln(w, "POOL\tUSABLE UPSTREAMS")
	for _, p := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%d\n", p.Pool, p.Usable)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	c.printChanges(s.Changes)
	return nil
}

func voterNames(voters []operator.VoterStatus) string {
	var names []string
	for _, v := range voters {
		name := v.Instance
		if v.Learner {
			name += fmt.Sprintf(" (learner, %d behind)", v.LagEntries)
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (c *statusCommand) printChanges(changes []operator.ChangeStatus) {
	for _, change := range changes {
		if change.ActiveAt != nil {
			fmt.Fprintf(c.out, "revision %d in force everywhere since %s\n", change.Revision, change.ActiveAt.Format(time.RFC3339Nano))
			continue
		}
		fmt.Fprintf(c.out, "revision %d lagging on %v\n", change.Revision, change.Lagging)
	}
}

type explainCommand struct {
	*options `no-flag:"true"`
	Args     struct {
		ID string `positional-arg-name:"REQUEST" description:"request id"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the decisions on a request.
func (c *explainCommand) Execute([]string) error {
	var r report.Record
	if err := c.call(http.MethodGet, "/v1/explain/"+url.PathEscape(c.Args.ID), nil, &r); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(r)
	}
	fmt.Fprintf(c.out, "request %s of account %s\n", r.ID, r.Account)
	for _, e := range r.Entries {
		c.printEntry(e)
	}
	return nil
}

func (c *explainCommand) printEntry(e report.Entry) {
	fmt.Fprintf(c.out, "%s %s: %s\n", e.At.Format("15:04:05.000"), e.Component, e.Chosen)
	for _, line := range []struct{ label, text string }{
		{"known", e.Known}, {"weighed", e.Alternatives}, {"reason", e.Reason}, {"next", e.Next},
	} {
		if line.text != "" {
			fmt.Fprintf(c.out, "    %s: %s\n", line.label, line.text)
		}
	}
}

type checkCommand struct {
	*options `no-flag:"true"`
	Team     string       `long:"team" default:"team" description:"owner of the section"`
	Args     fileArgument `positional-args:"true" required:"true"`
}

// Execute checks a section without a server. Constraints that depend on the
// sections of other teams are checked only at submission.
func (c *checkCommand) Execute([]string) error {
	text, err := readSection(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := section.Parse(fleet.TeamID(c.Team), text); err != nil {
		return exitErrorf(ExitRefused, "%s: %v", c.Args.File, err)
	}
	fmt.Fprintf(c.out, "%s: no fault found\n", c.Args.File)
	return nil
}
