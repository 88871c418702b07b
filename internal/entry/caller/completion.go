package caller

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
)

// defaultMaxTokens is the length of an answer if the caller names none.
const defaultMaxTokens = 16

// generation holds the fields of a completion or chat request that the system
// acts on. Others, such as temperature, are ignored.
type generation struct {
	Model               fleet.ModelID   `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (a *API) complete(w http.ResponseWriter, r *http.Request, q *request) error {
	g, err := decodeGeneration(q.body)
	if err != nil {
		return err
	}
	prompt, err := promptText(g.Prompt)
	if err != nil {
		return err
	}
	return a.generate(w, r, q, g, prompt, completionShape{})
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, q *request) error {
	g, err := decodeGeneration(q.body)
	if err != nil {
		return err
	}
	prompt, err := chatText(g.Messages)
	if err != nil {
		return err
	}
	return a.generate(w, r, q, g, prompt, chatShape{})
}

func decodeGeneration(body []byte) (generation, error) {
	var g generation
	if !utf8.Valid(body) {
		return g, refusal.New(refusal.BadRequest, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &g); err != nil {
		return g, refusal.Because(refusal.BadRequest, err, "the body is not a valid JSON object: %v", err)
	}
	if g.N != nil && *g.N != 1 {
		return g, refusal.New(refusal.BadRequest, "n: only 1 is supported")
	}
	return g, nil
}

func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", refusal.New(refusal.BadRequest, "prompt: one non-empty string is needed")
}

// chatText joins the messages to one prompt, a line for each.
func chatText(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", refusal.New(refusal.BadRequest, "messages: at least one is needed")
	}
	var b strings.Builder
	for i, m := range messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", refusal.New(refusal.BadRequest, "messages[%d].content: a string or a list of text parts is needed", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant: ")
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", refusal.New(refusal.BadRequest, "part type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// generate admits a generation and sends its answer, whole or as a stream.
func (a *API) generate(w http.ResponseWriter, r *http.Request, q *request, g generation, prompt string, shape answerShape) error {
	model, err := a.findModel(q, g.Model)
	if err != nil {
		return err
	}
	limit, err := tokenLimit(g, model)
	if err != nil {
		return err
	}
	ticket, err := a.enter(r.Context(), q, model.Pool)
	if err != nil {
		return err
	}
	defer ticket.Done()
	ctx, stop := untilMoved(r.Context(), ticket)
	defer stop()
	r = r.WithContext(ctx)
	work := pipeline.Generation{
		Request:   q.id,
		Model:     model.ID,
		Priority:  q.account.Priority,
		Prompt:    tokens(prompt),
		MaxTokens: limit,
	}
	head := answerHead{id: q.id, model: model.ID, created: a.parts.Clock.Now().Unix()}
	if g.Stream {
		return a.stream(w, r, work, head, shape, g.StreamOptions.IncludeUsage)
	}
	return a.whole(w, r, work, head, shape)
}

// findModel returns a model that the account's team may use. A model of another
// team is reported like one that does not exist.
func (a *API) findModel(q *request, id fleet.ModelID) (document.Model, error) {
	model, known := q.config.Models[id]
	if !known || model.Team != q.account.Team {
		return model, refusal.New(refusal.NotFound, "model %q does not exist", id)
	}
	return model, nil
}

func tokenLimit(g generation, m document.Model) (int, error) {
	limit := min(defaultMaxTokens, m.MaxTokens)
	if g.MaxTokens != nil {
		limit = *g.MaxTokens
	}
	if g.MaxCompletionTokens != nil {
		limit = *g.MaxCompletionTokens
	}
	if limit < 1 || limit > m.MaxTokens {
		return 0, refusal.New(refusal.BadRequest, "max_tokens: %d is outside of 1 to %d", limit, m.MaxTokens)
	}
	return limit, nil
}

// tokens maps a prompt to token ids, one for each byte of its UTF-8 form.
func tokens(prompt string) []uint64 {
	ids := make([]uint64, len(prompt))
	for i := range len(prompt) {
		ids[i] = uint64(prompt[i])
	}
	return ids
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      fleet.ModelID `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy fleet.TeamID  `json:"owned_by"`
}

func (a *API) listModels(w http.ResponseWriter, _ *http.Request, q *request) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for id, m := range q.config.Models {
		if m.Team == q.account.Team {
			list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: m.Team})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, http.StatusOK, list)
	return nil
}
