#include "currantstack/decisions/store_history.h"

namespace currantstack
{

auto StoreHistory::observe(std::int64_t number) -> Change
{
    if (number < m_number) {
        return Change::Former;
    }
    const bool began = m_known && number > m_number;
    m_number = number;
    m_known = true;
    return began ? Change::Began : Change::None;
}

} // namespace currantstack
