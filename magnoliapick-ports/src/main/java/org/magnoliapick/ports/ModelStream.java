package org.magnoliapick.ports;

/** Receives a model's answer on the calling thread. */
public interface ModelStream {
    /**
     * Takes the answer's head.
     *
     * @param status the HTTP status
     * @param contentType the type of the content
     */
    void onHead(int status, String contentType);

    /**
     * Takes the data of one server-sent event, or a whole body that is not streamed.
     *
     * @param data the bytes as sent
     * @param tokens the tokens that it holds
     * @return false to cancel the attempt
     */
    boolean onChunk(byte[] data, int tokens);

    /**
     * Takes the end mark: the answer is whole.
     *
     * @param promptTokens tokens of the prompt as the engine counted them
     * @param outputTokens tokens generated as the engine counted them
     */
    void onEnd(long promptTokens, long outputTokens);

    /** Takes the failure; nothing follows. */
    void onFailure(AttemptFailure failure, String detail);
}
