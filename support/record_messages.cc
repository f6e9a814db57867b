// Writes one message of each kind into a folder, as the library that it is linked against encodes it.
#include "recorded_messages.h"

#include <fstream>

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    for (const auto &message : sampleMessages()) {
        std::ofstream file(std::string(argv[1]) + "/" + message.name, std::ios::binary);
        file.write(message.bytes.data(), static_cast<std::streamsize>(message.bytes.size()));
        if (!file.flush()) {
            return 1;
        }
    }
    return 0;
}
