#include "currantstack/decisions/answer_progress.h"

namespace currantstack
{

auto name(AnswerProgress::State state) -> std::string_view
{
    switch (state) {
    case AnswerProgress::State::Paused:
        return "paused";
    case AnswerProgress::State::Receiving:
        return "receiving";
    case AnswerProgress::State::Waiting:
        break;
    }
    return "waiting";
}

} // namespace currantstack
