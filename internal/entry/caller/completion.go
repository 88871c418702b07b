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

// defaultMaxTokens limits the generated tokens of a request that does not set a
// limit.
const defaultMaxTokens = 16

// generation holds the supported fields of a completion or chat request. Other
// fields, such as temperature, are ignored. The name of the type is part
// of decoding errors that are sent to callers.
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
	return a.generate(w, r, q, g, prompt, completionFormat{})
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, q *request) error {
	g, err := decodeGeneration(q.body)
	if err != nil {
		return err
	}
	prompt, err := chatPrompt(g.Messages)
	if err != nil {
		return err
	}
	return a.generate(w, r, q, g, prompt, chatFormat{})
}

func decodeGeneration(body []byte) (generation, error) {
	var g generation
	if !utf8.Valid(body) {
		return g, refusal.New(refusal.BadRequest, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &g); err != nil {
		return g, refusal.WithCause(refusal.BadRequest, err, "the body is not a valid JSON object: %v", err)
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

// chatPrompt joins the messages into one prompt, one line per message.
func chatPrompt(messages []chatMessage) (string, error) {
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

// generate admits a generation and sends the result as one response or as a
// stream.
func (a *API) generate(w http.ResponseWriter, r *http.Request, q *request, g generation, prompt string, format responseFormat) error {
	model, err := a.findModel(q, g.Model)
	if err != nil {
		return err
	}
	limit, err := tokenLimit(g, model)
	if err != nil {
		return err
	}
	ticket, err := a.admit(r.Context(), q, model.Pool)
	if err != nil {
		return err
	}
	defer ticket.Done()
	ctx, stop := withEviction(r.Context(), ticket)
	defer stop()
	r = r.WithContext(ctx)
	genRequest := pipeline.GenerationRequest{
		RequestID: q.id,
		Model:     model.ID,
		Priority:  q.account.Priority,
		Prompt:    byteTokens(prompt),
		MaxTokens: limit,
	}
	meta := responseMeta{id: q.id, model: model.ID, created: a.deps.Clock.Now().Unix()}
	if g.Stream {
		return a.serveStream(w, r, genRequest, meta, format, g.StreamOptions.IncludeUsage)
	}
	return a.serveUnary(w, r, genRequest, meta, format)
}

// findModel returns a model of the account's team. For a model of another team it
// returns the same error as for a model that does not exist.
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

// byteTokens maps a prompt to token ids, one per byte of its UTF-8 encoding.
func byteTokens(prompt string) []uint64 {
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
