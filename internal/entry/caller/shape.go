package caller

import (
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
)

// responseMeta holds the fields common to a response and all chunks of a stream.
type responseMeta struct {
	id      fleet.RequestID
	model   fleet.ModelID
	created int64 // Unix time in seconds
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(g pipeline.GenerationRequest, count int) usage {
	return usage{
		PromptTokens:     len(g.Prompt),
		CompletionTokens: count,
		TotalTokens:      len(g.Prompt) + count,
	}
}

// responseFormat builds the JSON bodies of the completions or the chat API.
type responseFormat interface {
	response(m responseMeta, text, reason string, u usage) any
	chunk(m responseMeta, text string, first bool) any
	finalChunk(m responseMeta, reason string) any
	usageChunk(m responseMeta, u usage) any
}

type responseBody struct {
	ID      fleet.RequestID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   fleet.ModelID   `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Logprobs     any          `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (m responseMeta) newBody(object string, choices ...choice) responseBody {
	if choices == nil {
		choices = []choice{}
	}
	return responseBody{ID: m.id, Object: object, Created: m.created, Model: m.model, Choices: choices}
}

func (m responseMeta) newUsageBody(object string, u usage) responseBody {
	b := m.newBody(object)
	b.Usage = &u
	return b
}

// completionFormat is the response format of /v1/completions.
type completionFormat struct{}

const completionObject = "text_completion"

func (completionFormat) response(m responseMeta, text, reason string, u usage) any {
	b := m.newBody(completionObject, choice{Text: &text, FinishReason: &reason})
	b.Usage = &u
	return b
}

func (completionFormat) chunk(m responseMeta, text string, _ bool) any {
	return m.newBody(completionObject, choice{Text: &text})
}

func (completionFormat) finalChunk(m responseMeta, reason string) any {
	empty := ""
	return m.newBody(completionObject, choice{Text: &empty, FinishReason: &reason})
}

func (completionFormat) usageChunk(m responseMeta, u usage) any {
	return m.newUsageBody(completionObject, u)
}

// chatFormat is the response format of /v1/chat/completions.
type chatFormat struct{}

const chatChunkObject = "chat.completion.chunk"

func (chatFormat) response(m responseMeta, text, reason string, u usage) any {
	b := m.newBody("chat.completion", choice{
		Message:      &chatContent{Role: "assistant", Content: text},
		FinishReason: &reason,
	})
	b.Usage = &u
	return b
}

func (chatFormat) chunk(m responseMeta, text string, first bool) any {
	delta := &chatContent{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return m.newBody(chatChunkObject, choice{Delta: delta})
}

func (chatFormat) finalChunk(m responseMeta, reason string) any {
	return m.newBody(chatChunkObject, choice{Delta: &chatContent{}, FinishReason: &reason})
}

func (chatFormat) usageChunk(m responseMeta, u usage) any {
	return m.newUsageBody(chatChunkObject, u)
}
